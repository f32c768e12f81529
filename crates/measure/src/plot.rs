//! Draws results.

use {
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

const SIZE: (u32, u32) = (900, 500);

/// Draws one line for each policy, its p99 in milliseconds by scene, to an SVG file.
///
/// # Errors
/// When the file cannot be written.
pub fn plot(
    path: &Path,
    scenes: &[&str],
    lines: &[(String, Vec<f64>)],
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = lines
        .iter()
        .flat_map(|(_, values)| values)
        .copied()
        .fold(1.0, f64::max);
    let count = scenes.len().max(2);
    let mut chart = ChartBuilder::on(&area)
        .caption("p99 of answers in ms", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0..count - 1, 0.0..highest * 1.1)?;
    let label = |index: &usize| scenes.get(*index).copied().unwrap_or_default().to_owned();
    chart
        .configure_mesh()
        .x_labels(count)
        .x_label_formatter(&label)
        .draw()?;
    for (index, (name, values)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = values.iter().copied().enumerate();
        let series = chart.draw_series(LineSeries::new(points, colour))?;
        series
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
