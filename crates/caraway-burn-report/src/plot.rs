//! Renders plots of one objective as SVG.

use anyhow::{Result, anyhow};
use caraway_burn::Row;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (640, 160);

/// Draws the burn rate of each minute of the last hour, with a red line at the rate 1.
///
/// A minute without requests counts as rate 0.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn.
pub(crate) fn render_last_hour(row: &Row) -> Result<String> {
    let mut svg = String::new();
    draw(row, &mut svg).map_err(|e| anyhow!("{}: {e}", row.name))?;
    Ok(svg)
}

/// Draws the plot of [`render_last_hour`] into `svg`.
fn draw(row: &Row, svg: &mut String) -> Result<(), String> {
    let rates: Vec<f64> = row
        .last_hour
        .iter()
        .map(|counts| counts.burn_rate(row.objective.target).unwrap_or(0.0))
        .collect();
    let axis_max = rates.iter().copied().fold(2.0, f64::max) * 1.1;
    let to_string = |e: DrawingAreaErrorKind<_>| e.to_string();
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(to_string)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(-59..0, 0.0..axis_max)
        .map_err(to_string)?;
    chart
        .configure_mesh()
        .x_desc("minutes")
        .y_desc("burn rate")
        .x_labels(7)
        .y_labels(4)
        .draw()
        .map_err(to_string)?;
    let minutes = (-59..=0).zip(rates);
    chart
        .draw_series(LineSeries::new(minutes, &BLUE))
        .map_err(to_string)?;
    let budget_line = [(-59, 1.0), (0, 1.0)];
    chart
        .draw_series(LineSeries::new(budget_line, &RED))
        .map_err(to_string)?;
    area.present().map_err(to_string)
}
