//! Plots goodput as a share of the offered requests over the load, with a line for each policy.

use {
    super::run::Row,
    eyre::{Result, eyre},
    plotters::prelude::*,
    std::path::Path,
};

const COLOURS: [RGBColor; 5] = [
    BLACK,
    RGBColor(0, 90, 200),
    RGBColor(200, 60, 0),
    RGBColor(0, 140, 60),
    RGBColor(140, 0, 140),
];

/// Writes the plot to an SVG file.
///
/// # Errors
/// The plot can't be drawn or written.
pub(super) fn write(path: &Path, rows: &[Row]) -> Result<()> {
    draw(path, rows).map_err(|err| eyre!("plot: {err}"))
}

fn draw(path: &Path, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    let root = SVGBackend::new(path, (720, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.6..1.3, 0.0..1.0)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc("offered load over capacity").y_desc("goodput over offered").draw()?;
    for (index, policy) in policies.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let policy_rows = rows.iter().filter(|row| row.policy == *policy);
        let points = policy_rows.map(|row| (row.load, row.good as f64 / row.offered.max(1) as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::LowerLeft).draw()?;
    root.present()?;
    Ok(())
}
