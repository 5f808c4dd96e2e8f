//! Groups samples into lines and projects them to the target size.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Driver, FitFault, HeldSize, LineFit, Measure, Point, Sample, fit};

/// How a projected value compares with the users' limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Within the limit.
    #[display("yes")]
    Fits,
    /// Above the limit.
    #[display("no")]
    Exceeds,
    /// The limit is one for control, and this is no control work.
    #[display("not control")]
    NotControl,
}

/// One measure of one role against one driver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LineReport {
    /// The role.
    pub role: String,
    /// The size that was varied.
    pub driver: Driver,
    /// What was measured.
    pub measure: Measure,
    /// The sizes of the role's other drivers meanwhile.
    pub held: Vec<HeldSize>,
    /// The measured points in the order of their sizes.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: LineFit,
    /// The size at the target.
    pub target: f64,
    /// The value of the line there.
    pub projected: f64,
    /// How that compares with the limit.
    pub verdict: Verdict,
}

/// One measure of one role with every control driver at its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RoleTotal {
    /// The role.
    pub role: String,
    /// What was measured.
    pub measure: Measure,
    /// The value with every driver at zero, plus the growth along each of them. Falling lines
    /// count as level, so that noise in one series cannot hide the cost of another.
    pub projected: f64,
    /// The users' limit.
    pub limit: f64,
    /// How the two compare.
    pub verdict: Verdict,
}

/// The result of the experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CapacityReport {
    /// The commit that was measured.
    pub commit: String,
    /// Every line.
    pub lines: Vec<LineReport>,
    /// The sums over the drivers.
    pub totals: Vec<RoleTotal>,
}

impl CapacityReport {
    /// Fits a line for each role, driver and measure of `samples`.
    ///
    /// # Errors
    ///
    /// [`FitFault`] where a series has fewer than two sizes.
    pub fn new(commit: &str, samples: &[Sample]) -> Result<CapacityReport, FitFault> {
        let lines = series(samples)
            .into_iter()
            .map(|(key, series)| line_report(key, series))
            .collect::<Result<Vec<_>, _>>()?;
        let totals = totals(&lines);
        Ok(CapacityReport { commit: commit.to_owned(), lines, totals })
    }
}

type SeriesKey = (String, Driver, Measure);

#[derive(Default)]
struct Series {
    held: Vec<HeldSize>,
    points: Vec<Point>,
}

fn series(samples: &[Sample]) -> BTreeMap<SeriesKey, Series> {
    let mut all: BTreeMap<SeriesKey, Series> = BTreeMap::new();
    for sample in samples {
        for reading in &sample.readings {
            let key = (sample.role.clone(), sample.driver, reading.measure);
            let series = all.entry(key).or_default();
            series.held = sample.held.clone();
            series.points.push(Point { size: sample.size, value: reading.value });
        }
    }
    all
}

fn line_report(key: SeriesKey, series: Series) -> Result<LineReport, FitFault> {
    let (role, driver, measure) = key;
    let Series { held, mut points } = series;
    points.sort_by(|a, b| a.size.total_cmp(&b.size));
    let line = fit(&points)?;
    let target = driver.target();
    let projected = line.at(target);
    let verdict =
        if driver.is_control() { verdict(projected, measure) } else { Verdict::NotControl };
    Ok(LineReport { role, driver, measure, held, points, line, target, projected, verdict })
}

fn totals(lines: &[LineReport]) -> Vec<RoleTotal> {
    let mut groups: BTreeMap<(&str, Measure), Vec<&LineReport>> = BTreeMap::new();
    for line in lines.iter().filter(|it| it.driver.is_control()) {
        groups.entry((line.role.as_str(), line.measure)).or_default().push(line);
    }
    groups.into_iter().map(|((role, measure), lines)| total(role, measure, &lines)).collect()
}

fn total(role: &str, measure: Measure, lines: &[&LineReport]) -> RoleTotal {
    // Each series gives the value at zero on its own; the highest is the safe one.
    let base = lines.iter().map(|it| value_at_zero(it, lines)).fold(0.0, f64::max);
    let growth: f64 = lines.iter().map(|it| slope_up(it) * it.target).sum();
    let projected = base + growth;
    let limit = measure.limit();
    RoleTotal {
        role: role.to_owned(),
        measure,
        projected,
        limit,
        verdict: verdict(projected, measure),
    }
}

/// The intercept of `line` without what its held sizes add to it.
fn value_at_zero(line: &LineReport, lines: &[&LineReport]) -> f64 {
    let slope_of =
        |driver| lines.iter().find(|it| it.driver == driver).map_or(0.0, |it| slope_up(it));
    let held: f64 = line.held.iter().map(|it| slope_of(it.driver) * it.size).sum();
    line.line.intercept - held
}

fn slope_up(line: &LineReport) -> f64 {
    line.line.slope.max(0.0)
}

fn verdict(projected: f64, measure: Measure) -> Verdict {
    if projected <= measure.limit() { Verdict::Fits } else { Verdict::Exceeds }
}
