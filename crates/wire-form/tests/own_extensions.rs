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
use policy::{MeasuredPauses, VersionHash};

fn pauses() -> Vec<PauseRow> {
    let pauses = MeasuredPauses { routers: 40, ratios_permille: 41_200 };
    vec![PauseRow { pool: PoolHash(7), pauses }]
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
        let summary = Summary { level: Some(2), down, pauses: pauses(), ..summary };
        assert_eq!(decode_summary(&encode_summary(&summary)), Ok(summary), "{name}");
    }
    for (name, digest) in samples::digests() {
        let sole_versions = vec![SoleVersion { pool: PoolHash(7), version: VersionHash(9) }];
        let down = vec![ServerIdx(3)];
        let digest = Digest { down, pauses: pauses(), sole_versions, ..digest };
        assert_eq!(decode_digest(&encode_digest(&digest)), Ok(digest), "{name}");
    }
    let member = samples::member(1);
    let leaving =
        [Envelope::Leave(member), Envelope::Left(member)].map(|it| ("leave".to_owned(), it));
    for (name, envelope) in samples::envelopes().into_iter().chain(leaving) {
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
