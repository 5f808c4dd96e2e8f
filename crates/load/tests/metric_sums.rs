//! Sums of counters in the prometheus text format.

use expect_test::{Expect, expect};
use load::counters::sum;

const TEXT: &str = "\
# HELP bytes_total Bytes.
# TYPE bytes_total counter
bytes_total{direction=\"sent\"} 40
bytes_total{direction=\"received\"} 2.5
bytes_total_other 900
plain 7
";

fn check(name: &str, expect: Expect) {
    expect.assert_eq(&format!("{:?}", sum(TEXT, name)));
}

#[test]
fn over_labels() {
    check("bytes_total", expect!["Some(42.5)"]);
}

#[test]
fn without_labels() {
    check("plain", expect!["Some(7.0)"]);
}

#[test]
fn absent_counter() {
    check("bytes", expect!["None"]);
}
