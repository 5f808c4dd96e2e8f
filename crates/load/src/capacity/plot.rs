//! Draws the points and the line of one series as SVG.

use plotters::prelude::*;

use super::{LineReport, Point};
use crate::report::PlotFault;

const SIZE_PX: (u32, u32) = (720, 440);
const POINT_RADIUS_PX: i32 = 4;

/// The file name for the plot of `line`.
pub fn line_file_name(line: &LineReport) -> String {
    let measure: String = line.measure.to_string().replace(|it: char| !it.is_alphanumeric(), "-");
    let name = format!("{}-{}-{measure}.svg", line.role, line.driver);
    let mut parts: Vec<&str> = name.split('-').collect();
    parts.retain(|it| !it.is_empty());
    parts.join("-")
}

/// Draws the points of `line` and the fitted line through them.
///
/// # Errors
///
/// [`PlotFault`] if the drawing library fails.
pub fn line_svg(line: &LineReport) -> Result<String, PlotFault> {
    let size_max = axis_max(&line.points, |it| it.size);
    let value_max = axis_max(&line.points, |it| it.value);
    let caption = format!("{}: {} by {}", line.role, line.measure, line.driver);

    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(PlotFault::new)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..size_max * 1.05, 0.0..value_max * 1.1)
            .map_err(PlotFault::new)?;
        chart
            .configure_mesh()
            .x_desc(line.driver.to_string())
            .y_desc(line.measure.to_string())
            .draw()
            .map_err(PlotFault::new)?;
        let ends = [0.0, size_max].map(|size| (size, line.line.at(size)));
        chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(2))).map_err(PlotFault::new)?;
        let points = line
            .points
            .iter()
            .map(|it| Circle::new((it.size, it.value), POINT_RADIUS_PX, RED.filled()));
        chart.draw_series(points).map_err(PlotFault::new)?;
        root.present().map_err(PlotFault::new)?;
    }
    Ok(svg)
}

/// The maximum of the values, or a small positive value if they give no range to draw.
fn axis_max(points: &[Point], of: impl Fn(&Point) -> f64) -> f64 {
    points.iter().map(of).fold(1e-6, f64::max)
}
