//! Ratios and rates in the overhead report.

use std::time::Duration;

use expect_test::expect;
use load::overhead::{AddedTime, OverheadReport, RelayRate, StreamMemory};

#[test]
fn table_layout() {
    let ms = |values: &[u64]| -> Vec<Duration> {
        values.iter().map(|it| Duration::from_millis(*it)).collect()
    };
    let report = OverheadReport {
        added_time: AddedTime::new(&ms(&[2, 2, 2]), &ms(&[3, 3, 9])),
        relay: RelayRate::new(8, 10_000, Duration::from_secs(2), Some(Duration::from_millis(500))),
        memory: vec![
            StreamMemory::new(200, 10_000, 12_000),
            StreamMemory::new(1_000, 10_000, 9_000),
        ],
    };
    expect![[r#"
        median direct     2000 us
        median routed     3001 us
        ratio             1.500
        tokens relayed    5000 a second
        tokens relayed    20000 a second of one core
        memory a stream   10240 bytes at 200
        memory a stream   0 bytes at 1000
    "#]]
    .assert_eq(&report.table());
}

#[test]
fn empty_measurements() {
    let report = OverheadReport {
        added_time: AddedTime::new(&[], &[]),
        relay: RelayRate::new(0, 0, Duration::ZERO, None),
        memory: Vec::new(),
    };
    expect![[r#"
        median direct     0 us
        median routed     0 us
        ratio             0.000
        tokens relayed    0 a second
    "#]]
    .assert_eq(&report.table());
}
