//! Plots the results of a comparison of policies.

use {
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

/// Width and height.
const SIZE_PX: (u32, u32) = (900, 500);

/// Writes an SVG file with a line for each policy: its p99 response time in milliseconds by scene.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot_p99(
    path: &Path,
    scene_names: &[&str],
    policies: &[(String, Vec<f64>)],
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let max_ms = policies
        .iter()
        .flat_map(|(_, p99_ms)| p99_ms)
        .copied()
        .fold(1.0, f64::max);
    let scene_count = scene_names.len().max(2);
    let mut chart = ChartBuilder::on(&area)
        .caption("p99 of answers in ms", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0..scene_count - 1, 0.0..max_ms * 1.1)?;
    let scene_label = |index: &usize| {
        scene_names
            .get(*index)
            .copied()
            .unwrap_or_default()
            .to_owned()
    };
    chart
        .configure_mesh()
        .x_labels(scene_count)
        .x_label_formatter(&scene_label)
        .draw()?;
    for (index, (policy, p99_ms)) in policies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = p99_ms.iter().copied().enumerate();
        let series = chart.draw_series(LineSeries::new(points, color))?;
        series
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
