//! Groups samples into lines and projects them to the target size.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Driver, FitFault, HeldSize, LineFit, Measure, Point, Sample, fit};

/// The result of comparing a projected value with the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Within the limit.
    #[display("yes")]
    Fits,
    /// Above the limit.
    #[display("no")]
    Exceeds,
    /// Not compared: the limit applies to control work only.
    #[display("not control")]
    NotControl,
}

/// One measure of one role against one driver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LineReport {
    /// The role.
    pub role: String,
    /// The dimension that was varied.
    pub driver: Driver,
    /// The measured quantity.
    pub measure: Measure,
    /// The sizes at which the role's other drivers were held.
    pub held: Vec<HeldSize>,
    /// The measured points, sorted by size.
    pub points: Vec<Point>,
    /// The fitted line.
    pub line: LineFit,
    /// The target size.
    pub target: f64,
    /// The value of the line at the target size.
    pub projected: f64,
    /// The comparison with the limit.
    pub verdict: Verdict,
}

/// One measure of one role with every control driver at its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RoleTotal {
    /// The role.
    pub role: String,
    /// The measured quantity.
    pub measure: Measure,
    /// The value with every driver at zero, plus the growth along each driver. A negative slope
    /// counts as zero, so that noise in one series cannot hide the cost of another.
    pub projected: f64,
    /// The limit.
    pub limit: f64,
    /// The comparison of the two.
    pub verdict: Verdict,
}

/// The result of the capacity experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CapacityReport {
    /// The commit that was measured.
    pub commit: String,
    /// One line per role, driver and measure.
    pub lines: Vec<LineReport>,
    /// The totals over the control drivers.
    pub totals: Vec<RoleTotal>,
}

impl CapacityReport {
    /// Fits a line for each role, driver and measure of `samples`.
    ///
    /// # Errors
    ///
    /// [`FitFault`] if a series has fewer than two sizes or a value that is not finite.
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
    let mut by_key: BTreeMap<SeriesKey, Series> = BTreeMap::new();
    for sample in samples {
        for reading in &sample.readings {
            let key = (sample.role.clone(), sample.driver, reading.measure);
            let series = by_key.entry(key).or_default();
            series.held = sample.held.clone();
            series.points.push(Point { size: sample.size, value: reading.value });
        }
    }
    by_key
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
    // Each series gives its own estimate of the value at zero; the highest is the conservative one.
    let base = lines.iter().map(|it| value_at_zero(it, lines)).fold(0.0, f64::max);
    let growth: f64 = lines.iter().map(|it| nonnegative_slope(it) * it.target).sum();
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

/// The intercept of `line` minus the contribution of its held sizes.
fn value_at_zero(line: &LineReport, lines: &[&LineReport]) -> f64 {
    let slope_of = |driver| {
        lines.iter().find(|it| it.driver == driver).map_or(0.0, |it| nonnegative_slope(it))
    };
    let held: f64 = line.held.iter().map(|it| slope_of(it.driver) * it.size).sum();
    line.line.intercept - held
}

fn nonnegative_slope(line: &LineReport) -> f64 {
    line.line.slope.max(0.0)
}

fn verdict(projected: f64, measure: Measure) -> Verdict {
    if projected <= measure.limit() { Verdict::Fits } else { Verdict::Exceeds }
}
