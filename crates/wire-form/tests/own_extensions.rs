//! The extensions of this build's messages.

#[path = "support/samples.rs"]
#[allow(dead_code)]
mod samples;

use std::net::SocketAddr;

use control::Envelope;
use directory::{ListedVm, decode_list, encode_list};
use dissemination::{
    Digest, PauseRow, PoolHash, ServerIdx, ServerRef, SoleVersion, Summary, decode_digest,
    decode_summary, encode_digest, encode_summary,
};
use duties::{CounterId, UsageRows, WindowCounts, WindowId};
use policy::{MeasuredPauses, VersionHash};

fn pauses() -> Vec<PauseRow> {
    let pauses = MeasuredPauses { routers: 40, ratios_permille: 41_200 };
    vec![PauseRow { pool: PoolHash(7), pauses }]
}

fn usage() -> UsageRows {
    let counts = vec![("hule930".to_owned(), 412), ("fida11".to_owned(), 1)];
    let windows = vec![WindowCounts { window: WindowId(353_445_120), counts }];
    UsageRows { counter: CounterId(u64::MAX), windows }
}

/// Guards against spot servers that are taken for others, or a time that is lost.
#[test]
fn spot_servers_kept() {
    let [first] = samples::list().try_into().expect("one server");
    let leaving = ListedVm { is_spot: true, leaves_in_ms: Some(2_000), ..first.clone() };
    let staying = ListedVm { is_spot: true, ..first.clone() };
    let list = vec![first.clone(), leaving, first, staying];
    assert_eq!(decode_list(&encode_list(&list)), Ok(list));
}

/// Guards against an extension that is not written or not read.
#[test]
fn all_kept() {
    for (name, summary) in samples::summaries() {
        let down = vec![ServerRef::Idx(ServerIdx(3))];
        let usage = Some(usage());
        let summary = Summary { level: Some(2), down, pauses: pauses(), usage, ..summary };
        assert_eq!(decode_summary(&encode_summary(&summary)), Ok(summary), "{name}");
    }
    for (name, digest) in samples::digests() {
        let sole_versions = vec![SoleVersion { pool: PoolHash(7), version: VersionHash(9) }];
        let down = vec![ServerIdx(3)];
        let digest = Digest { down, pauses: pauses(), sole_versions, ..digest };
        assert_eq!(decode_digest(&encode_digest(&digest)), Ok(digest), "{name}");
    }
    let member = samples::member(1);
    let later = [
        Envelope::Leave(member),
        Envelope::Left(member),
        Envelope::Usage { rows: vec![usage(), usage()] },
    ];
    let later = later.map(|it| ("later".to_owned(), it));
    for (name, envelope) in samples::envelopes().into_iter().chain(later) {
        let envelope = match envelope {
            Envelope::Work { hub, rows, begun_streams, .. } => {
                let down = vec![(SocketAddr::from(([10, 0, 0, 1], 9_001)), 2)];
                Envelope::Work { hub, rows, begun_streams, down }
            }
            Envelope::RouterPeers { hub, peers, .. } => {
                Envelope::RouterPeers { hub, peers, pauses: pauses() }
            }
            other => other,
        };
        let bytes = envelope.encode().expect("an encoding");
        assert_eq!(Envelope::decode(&bytes), Ok(envelope), "{name}");
    }
}

/// Guards against usage that takes more of a control link than docs/CAPACITY.md says: 12 bytes a changed count
/// and 20 bytes a summary.
#[test]
fn usage_bytes() {
    let (_, summary) = samples::summaries().pop().expect("a brief summary");
    let counts: Vec<_> = (100..124).map(|it| (format!("hule{it}"), it)).collect();
    let windows = vec![WindowCounts { window: WindowId(353_445_120), counts }];
    let usage = Some(UsageRows { counter: CounterId(u64::MAX), windows });
    let without = encode_summary(&summary).len();
    let bytes = encode_summary(&Summary { usage, ..summary }).len() - without;
    assert!(bytes <= 24 * 12 + 20, "{bytes} bytes for 24 counts");
}
