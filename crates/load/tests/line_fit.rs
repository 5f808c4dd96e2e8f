//! Line fits, their projection to the target size, and their tables.

use expect_test::{Expect, expect};
use load::capacity::{
    CapacityReport, Driver, HeldSize, LineFit, Measure, Point, Reading, Sample, Verdict, fit,
    line_file_name, line_svg, markdown,
};
use proptest::prelude::*;

fn check(points: &[(f64, f64)], expect: Expect) {
    let points: Vec<Point> = points.iter().map(|&(size, value)| Point { size, value }).collect();
    let text = match fit(&points) {
        Ok(LineFit { slope, intercept, r2 }) => format!("{slope:.4} {intercept:.4} {r2:.4}"),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&text);
}

fn sample(driver: Driver, size: f64, rss_kib: f64) -> Sample {
    let readings = vec![Reading { measure: Measure::RssKib, value: rss_kib }];
    Sample { role: "router".to_owned(), driver, size, held: Vec::new(), readings }
}

fn report() -> CapacityReport {
    let samples = [
        sample(Driver::Replicas, 500.0, 11_000.0),
        sample(Driver::Replicas, 10.0, 10_020.0),
        sample(Driver::Workspaces, 10.0, 10_300.0),
        sample(Driver::Workspaces, 1_000.0, 40_000.0),
        sample(Driver::Streams, 1.0, 10_000.0),
        sample(Driver::Streams, 1_000.0, 99_900.0),
    ];
    CapacityReport::new("abc1234", &samples).expect("two sizes each")
}

#[test]
fn exact_line() {
    check(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)], expect!["2.0000 1.0000 1.0000"]);
}

#[test]
fn noisy_line() {
    check(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)], expect!["0.8000 0.3000 0.6400"]);
}

#[test]
fn horizontal_line() {
    check(&[(1.0, 4.0), (9.0, 4.0)], expect!["0.0000 4.0000 1.0000"]);
}

#[test]
fn unfittable_points() {
    check(
        &[],
        expect!["0 points at fewer than two sizes give no slope; measure at two sizes or more"],
    );
    check(
        &[(1.0, 4.0), (1.0, 5.0)],
        expect!["2 points at fewer than two sizes give no slope; measure at two sizes or more"],
    );
    check(&[(1.0, 4.0), (2.0, f64::NAN)], expect!["a point is not finite; measure it again"]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn exact_line_recovered(slope in -1e3..1e3_f64, intercept in -1e3..1e3_f64, step in 0.5..100.0_f64) {
        let sizes = (0..6).map(|it| f64::from(it) * step);
        let points: Vec<Point> =
            sizes.map(|size| Point { size, value: intercept + slope * size }).collect();
        let line = fit(&points).expect("six sizes");
        prop_assert!((line.slope - slope).abs() < 1e-6);
        prop_assert!((line.intercept - intercept).abs() < 1e-6);
    }
}

#[test]
fn markdown_tables() {
    expect![[r#"
        Measured at commit abc1234.

        | role | driver | sizes | measure | slope | intercept | r² | target | projected | limit | fits |
        |---|---|---|---|---:|---:|---:|---:|---:|---:|---|
        | router | replicas | 10.00–500 (2) | memory, KiB | 2.00 | 10000 | 1.000 | 1300 | 12600 | 32768 | yes |
        | router | workspaces | 10.00–1000 (2) | memory, KiB | 30.00 | 10000 | 1.000 | 930 | 37900 | 32768 | no |
        | router | streams | 1.00–1000 (2) | memory, KiB | 89.99 | 9910 | 1.000 | 200 | 27908 | 32768 | not control |

        | role | measure | all drivers at target | limit | fits |
        |---|---|---:|---:|---|
        | router | memory, KiB | 40500 | 32768 | no |
    "#]].assert_eq(&markdown(&report()));
}

#[test]
fn streams_excluded_from_totals() {
    let report = report();
    let streams = report.lines.iter().find(|it| it.driver == Driver::Streams).expect("a line");
    assert_eq!(streams.verdict, Verdict::NotControl);
    assert_eq!(report.totals.len(), 1);
}

#[test]
fn held_sizes_subtracted() {
    let held = vec![HeldSize { driver: Driver::Workspaces, size: 100.0 }];
    let with_held =
        |size, rss_kib| Sample { held: held.clone(), ..sample(Driver::Replicas, size, rss_kib) };
    let samples = [
        with_held(0.0, 10_200.0),
        with_held(100.0, 10_300.0),
        sample(Driver::Workspaces, 0.0, 10_000.0),
        sample(Driver::Workspaces, 100.0, 10_200.0),
    ];
    let report = CapacityReport::new("abc1234", &samples).expect("two sizes each");
    // 10,000 at zero, 1 for each of 1,300 replicas and 2 for each of 930 workspaces.
    assert_eq!(report.totals[0].projected, 13_160.0);
}

#[test]
fn json_round_trip() {
    let text = serde_json::to_string(&report()).expect("plain data");
    let parsed: CapacityReport = serde_json::from_str(&text).expect("valid JSON of a report");
    assert_eq!(parsed, report());
}

#[test]
fn line_plot_points() {
    let report = report();
    let line = &report.lines[0];
    expect!["router-replicas-memory-KiB.svg"].assert_eq(&line_file_name(line));
    let svg = line_svg(line).expect("finite numbers");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert_eq!(svg.matches("<circle").count(), line.points.len());
}
