//! Sample writes for the tests.

use std::ops::RangeInclusive;

use consensus::{Entry, LogIndex, Payload, Term, Writes};

/// A write that appends entries of one term.
pub(crate) fn append(term: u64, indexes: RangeInclusive<u64>) -> Writes {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(format!("command {index}").into_bytes()),
    };
    Writes { append: indexes.map(entry).collect(), ..Writes::default() }
}

/// A write that replaces the entries from an index on with entries of one term.
pub(crate) fn truncate(from: u64, term: u64, indexes: RangeInclusive<u64>) -> Writes {
    Writes { truncate_from: Some(LogIndex(from)), ..append(term, indexes) }
}
