//! Checks that applying a delta gives exactly the tables of the sender, or fails.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tables::{Delta, DeltaError, Revision, Row, Rows};

fn table() -> impl Strategy<Value = BTreeMap<String, Row>> {
    let row = proptest::collection::btree_map("[a-c]", "[x-z]", 0..3);
    proptest::collection::btree_map("[a-e]", row, 0..5)
}

fn rows() -> impl Strategy<Value = Rows> {
    (table(), table()).prop_map(|(routes, pools)| Rows { routes, pools })
}

proptest! {
    #[test]
    fn reaches_target(old in rows(), new in rows()) {
        let delta = Delta::between(Revision(4), &old, Revision(9), &new);
        prop_assert_eq!(delta.apply(Revision(4), &old), Ok(new));
    }

    #[test]
    fn merged_reaches_target(all in proptest::collection::vec(rows(), 2..6)) {
        let deltas: Vec<_> = all
            .windows(2)
            .zip(0..)
            .map(|(pair, at)| Delta::between(Revision(at), &pair[0], Revision(at + 1), &pair[1]))
            .collect();
        let merged = Delta::merged(&deltas).expect("at least one delta");
        let reached = merged.apply(Revision(0), &all[0]);
        prop_assert_eq!(reached.as_ref(), Ok(&all[all.len() - 1]));
    }

    #[test]
    fn text_round_trip(rows in rows()) {
        prop_assert_eq!(Rows::parse(&rows.to_text()), Ok(rows));
    }
}

#[test]
fn wrong_base() {
    let delta = Delta::between(Revision(4), &Rows::default(), Revision(5), &Rows::default());
    let result = delta.apply(Revision(3), &Rows::default());
    assert_eq!(result, Err(DeltaError::WrongBase { base: Revision(4), held: Revision(3) }));
}

#[test]
fn wrong_digest() {
    let mut other = Rows::default();
    other.routes.insert("chat".to_owned(), Row::new());
    let delta = Delta::between(Revision(4), &Rows::default(), Revision(5), &Rows::default());
    assert_eq!(delta.apply(Revision(4), &other), Err(DeltaError::WrongDigest));
}
