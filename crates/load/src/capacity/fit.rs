//! Fits a straight line to measured points by least squares.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Point {
    /// The size that was set.
    pub size: f64,
    /// The value that was measured.
    pub value: f64,
}

/// The line `value = intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LineFit {
    /// The growth of the value per unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// The coefficient of determination, from 0 to 1.
    pub r2: f64,
}

/// The reason why no line can be fitted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FitFault {
    /// There are fewer than two different sizes.
    #[display("{count} points at fewer than two sizes give no slope; measure at two sizes or more")]
    OneSize {
        /// The number of points.
        count: usize,
    },
    /// A coordinate is infinite or NaN.
    #[display("a point is not finite; measure it again")]
    NotFinite,
}

impl LineFit {
    /// The value that the line gives for `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line to `points` by least squares.
///
/// # Errors
///
/// [`FitFault`] if the points determine no line.
pub fn fit(points: &[Point]) -> Result<LineFit, FitFault> {
    if points.iter().any(|it| !it.size.is_finite() || !it.value.is_finite()) {
        return Err(FitFault::NotFinite);
    }
    let size_mean = mean(points, |it| it.size);
    let value_mean = mean(points, |it| it.value);
    let size_var: f64 = points.iter().map(|it| (it.size - size_mean).powi(2)).sum();
    if points.len() < 2 || size_var == 0.0 {
        return Err(FitFault::OneSize { count: points.len() });
    }
    let covar: f64 = points.iter().map(|it| (it.size - size_mean) * (it.value - value_mean)).sum();
    let slope = covar / size_var;
    let line = LineFit { slope, intercept: value_mean - slope * size_mean, r2: 0.0 };
    Ok(LineFit { r2: r2(&line, points, value_mean), ..line })
}

fn mean(points: &[Point], of: impl Fn(&Point) -> f64) -> f64 {
    points.iter().map(of).sum::<f64>() / points.len() as f64
}

fn r2(line: &LineFit, points: &[Point], value_mean: f64) -> f64 {
    let total: f64 = points.iter().map(|it| (it.value - value_mean).powi(2)).sum();
    let rest: f64 = points.iter().map(|it| (it.value - line.at(it.size)).powi(2)).sum();
    // A horizontal line through points of one value fits them exactly.
    if total == 0.0 { 1.0 } else { 1.0 - rest / total }
}
