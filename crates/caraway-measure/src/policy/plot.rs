//! Plots the mean load stall of each policy over the run as SVG.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::figures::Figures;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// Writes the plot; its vertical axis is logarithmic, in milliseconds.
///
/// # Errors
///
/// Returns an error when the file can't be written.
pub(crate) fn write(path: &Path, title: &str, figures: &[Figures]) -> anyhow::Result<()> {
    draw(path, title, figures).map_err(|e| anyhow!("{}: {e}", path.display()))
}

fn draw(
    path: &Path,
    title: &str,
    figures: &[Figures],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..9.0, (10.0..1e6).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("tenth of the run")
        .y_desc("mean load stall, ms")
        .draw()?;
    for (i, f) in figures.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = (0u32..).zip(&f.stall_tenths_ms);
        let line = LineSeries::new(points.map(|(x, y)| (f64::from(x), y.max(10.0))), color);
        chart
            .draw_series(line)?
            .label(f.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
