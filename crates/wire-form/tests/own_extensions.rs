//! The extensions of this build's messages.

#[path = "support/samples.rs"]
#[allow(dead_code)]
mod samples;

use std::net::SocketAddr;

use control::Envelope;
use dissemination::{
    Digest, PauseRow, PoolHash, ServerIdx, ServerRef, Summary, decode_digest, decode_summary,
    encode_digest, encode_summary,
};
use policy::MeasuredPauses;

fn pauses() -> Vec<PauseRow> {
    let pauses = MeasuredPauses { routers: 40, ratios_permille: 41_200 };
    vec![PauseRow { pool: PoolHash(7), pauses }]
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
        let digest = Digest { down: vec![ServerIdx(3)], pauses: pauses(), ..digest };
        assert_eq!(decode_digest(&encode_digest(&digest)), Ok(digest), "{name}");
    }
    for (name, envelope) in samples::envelopes() {
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
