//! Each class gets its guaranteed share of a pool that urgent requests alone would fill.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;

use fixture::{Fixture, class};
use policy::Action;

const CLASSES: [(&str, u8, u32); 3] = [("summary", 0, 50), ("draft", 1, 100), ("dawn", 9, 100)];
const ROUNDS: usize = 1_000;

/// Dispatches by class in [`ROUNDS`] rounds, while each class always has queued requests and all
/// requests cost the same.
fn dispatches(wait_ms: u64) -> [usize; CLASSES.len()] {
    let classes = CLASSES.map(|(name, priority, share)| class(name, priority, share));
    let mut fixture = Fixture::new(classes.to_vec(), 1, 4);
    let mut class_of = BTreeMap::new();
    let mut running = Vec::new();
    let mut counts = [0; CLASSES.len()];
    for _ in 0..ROUNDS {
        for (idx, (name, ..)) in CLASSES.iter().enumerate() {
            let key = fixture.scheduler.class(name).expect("the class is in the spec");
            while fixture.scheduler.class_counts(key, fixture.pool).waiting < 6 {
                class_of.insert(fixture.offer(name), idx);
            }
        }
        fixture.advance(wait_ms);
        for action in fixture.poll() {
            match action {
                Action::Dispatch { ticket, .. } => {
                    counts[class_of[&ticket]] += 1;
                    running.push(ticket);
                }
                Action::Resume { ticket, .. } => running.push(ticket),
                Action::Pause { ticket, .. } => running.retain(|it| *it != ticket),
                _ => {}
            }
        }
        if !running.is_empty() {
            fixture.finish(running.remove(0));
        }
    }
    counts
}

fn check(wait_ms: u64) {
    let counts = dispatches(wait_ms);
    for (idx, (name, _, share_permille)) in CLASSES.into_iter().enumerate() {
        let guaranteed = counts.iter().sum::<usize>() * share_permille as usize / 1000;
        assert!(
            counts[idx] + 2 >= guaranteed,
            "{name} got {} of {guaranteed} in {counts:?}",
            counts[idx]
        );
    }
    assert!(counts[2] >= 800, "the urgent class gets the rest: {counts:?}");
}

#[test]
fn share_under_flood() {
    check(1);
}

#[test]
fn share_while_pressing() {
    check(500);
}
