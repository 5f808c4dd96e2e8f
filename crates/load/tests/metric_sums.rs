//! Sums counters in the Prometheus text format.

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
fn sum_over_labels() {
    check("bytes_total", expect!["Some(42.5)"]);
}

#[test]
fn metric_without_labels() {
    check("plain", expect!["Some(7.0)"]);
}

#[test]
fn prefix_not_matched() {
    check("bytes", expect!["None"]);
}
