//! A caller's trace id is kept over hops, malformed trace contexts are rejected, and secrets are
//! hidden.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use telemetry::{Secret, TraceContext};

const PARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn keeps_trace_id() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let parent: TraceContext = PARENT.parse().expect("a valid header");
    assert_eq!(parent.to_string(), PARENT);

    let child = parent.child(&mut rng);
    assert_eq!(child.trace_id, parent.trace_id);
    assert_ne!(child.span_id, parent.span_id);
    assert_eq!(child.to_string().parse(), Ok(child));
}

#[test]
fn rejects_malformed() {
    for text in [
        "",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
    ] {
        assert!(text.parse::<TraceContext>().is_err(), "{text}");
    }
}

#[test]
fn secret_hidden() {
    assert_eq!(format!("{:?}", Secret::from("token-1".to_owned())), "Secret(hidden)");
}
