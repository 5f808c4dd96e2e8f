//! Formats the capacity report as Markdown tables.

use super::{CapacityReport, LineReport, RoleTotal};

/// Formats the lines and the totals as two tables.
pub fn markdown(report: &CapacityReport) -> String {
    let mut rows = vec![
        format!("Measured at commit {}.", report.commit),
        String::new(),
        "| role | driver | sizes | measure | slope | intercept | r² | target | projected | limit | fits |"
            .to_owned(),
        "|---|---|---|---|---:|---:|---:|---:|---:|---:|---|".to_owned(),
    ];
    rows.extend(report.lines.iter().map(line_row));
    rows.push(String::new());
    rows.push("| role | measure | all drivers at target | limit | fits |".to_owned());
    rows.push("|---|---|---:|---:|---|".to_owned());
    rows.extend(report.totals.iter().map(total_row));
    rows.join("\n") + "\n"
}

fn line_row(line: &LineReport) -> String {
    let cells = [
        line.role.clone(),
        line.driver.to_string(),
        sizes(line),
        line.measure.to_string(),
        number(line.line.slope),
        number(line.line.intercept),
        format!("{:.3}", line.line.r2),
        number(line.target),
        number(line.projected),
        number(line.measure.limit()),
        line.verdict.to_string(),
    ];
    row(&cells)
}

fn total_row(total: &RoleTotal) -> String {
    let cells = [
        total.role.clone(),
        total.measure.to_string(),
        number(total.projected),
        number(total.limit),
        total.verdict.to_string(),
    ];
    row(&cells)
}

fn row(cells: &[String]) -> String {
    format!("| {} |", cells.join(" | "))
}

/// The smallest size, the largest size and the number of points.
fn sizes(line: &LineReport) -> String {
    let first = line.points.first().map_or(0.0, |it| it.size);
    let last = line.points.last().map_or(0.0, |it| it.size);
    format!("{}–{} ({})", number(first), number(last), line.points.len())
}

/// A number with more decimals the smaller its absolute value is.
fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 || size >= 100.0 {
        return format!("{value:.0}");
    }
    if size >= 1.0 { format!("{value:.2}") } else { format!("{value:.5}") }
}
