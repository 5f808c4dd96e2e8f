//! Draws latency curves as SVG.

use derive_more::{Display, Error};
use plotters::prelude::*;

use super::{CurvePoint, Report};

const SIZE_PX: (u32, u32) = (900, 540);

/// An error of the drawing library.
#[derive(Debug, Display, Error)]
#[display("the plot cannot be drawn: {reason}; check that the report holds finite numbers")]
pub struct PlotFault {
    /// The library's error message.
    reason: String,
}

impl PlotFault {
    pub(crate) fn new(err: impl std::fmt::Display) -> PlotFault {
        PlotFault { reason: err.to_string() }
    }
}

/// Draws the times to the first token and to the whole answer, two curves per class.
///
/// # Errors
///
/// [`PlotFault`] if the drawing library fails.
pub fn latency_svg(report: &Report) -> Result<String, PlotFault> {
    let curves = curves(report);
    let latency_max_us = curves.iter().flat_map(|(_, it)| it).map(|it| it.latency_us).max();
    let latency_max_ms = to_ms(latency_max_us.unwrap_or(1).max(1));

    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(PlotFault::new)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("Latency from the planned time of sending", ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..100.0, 0.0..latency_max_ms * 1.05)
            .map_err(PlotFault::new)?;
        chart
            .configure_mesh()
            .x_desc("requests, %")
            .y_desc("latency, ms")
            .draw()
            .map_err(PlotFault::new)?;
        for (idx, (name, points)) in curves.into_iter().enumerate() {
            let color = Palette99::pick(idx).to_rgba();
            let points =
                points.into_iter().map(|it| (it.permille as f64 / 10.0, to_ms(it.latency_us)));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(PlotFault::new)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(PlotFault::new)?;
        root.present().map_err(PlotFault::new)?;
    }
    Ok(svg)
}

fn curves(report: &Report) -> Vec<(String, Vec<CurvePoint>)> {
    let classes = report.classes.iter();
    let both = classes.flat_map(|class| {
        [
            (format!("{}, first token", class.name), class.first_token.curve.clone()),
            (format!("{}, whole", class.name), class.whole.curve.clone()),
        ]
    });
    both.filter(|(_, points)| !points.is_empty()).collect()
}

fn to_ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
