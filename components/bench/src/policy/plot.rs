//! Plots of benchmark results.

use std::path::{Path, PathBuf};

use plotters::prelude::*;

use super::{PolicyRow, Score};

const SIZE_PX: (u32, u32) = (720, 420);

/// Title and value of a metric that is plotted over the load.
type Metric = (&'static str, fn(&Score) -> f64);

const METRICS: [Metric; 4] = [
    ("quick first token p95 (ms)", |score| score.quick.first_token_p95_ms),
    ("goodput (weighted requests per s)", |score| score.goodput_per_s),
    ("preemptions per 1000 requests", |score| score.preemptions_per_1000),
    ("stall (s per 1000 requests)", |score| score.stall_s_per_1000),
];

/// Writes one SVG file per mix and metric to `folder` and returns their paths.
pub fn write_plots(rows: &[PolicyRow], folder: &Path) -> Result<Vec<PathBuf>, String> {
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let mut mixes: Vec<String> = rows.iter().map(|row| row.mix.to_string()).collect();
    mixes.dedup();
    let mut paths = Vec::new();
    for mix in &mixes {
        for (index, metric) in METRICS.iter().enumerate() {
            let path = folder.join(format!("{mix}-{index}.svg"));
            let rows: Vec<&PolicyRow> = rows.iter().filter(|r| r.mix.to_string() == *mix).collect();
            draw(&rows, mix, *metric, &path).map_err(|error| error.to_string())?;
            paths.push(path);
        }
    }
    Ok(paths)
}

fn draw(
    rows: &[&PolicyRow],
    mix: &str,
    (title, value): Metric,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let max_value = rows.iter().map(|row| value(&row.score)).fold(1e-6, f64::max);
    let (min_load, max_load) = rows
        .iter()
        .fold((f64::INFINITY, 0.0_f64), |(min, max), row| (min.min(row.load), max.max(row.load)));
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{mix}: {title}"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(min_load..max_load.max(min_load + 0.1), 0.0..max_value * 1.1)?;
    chart.configure_mesh().x_desc("load").draw()?;
    let mut policies: Vec<String> = Vec::new();
    for row in rows {
        let name = row.policy.to_string();
        if !policies.contains(&name) {
            policies.push(name);
        }
    }
    for (index, policy) in policies.iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(2);
        let points = rows
            .iter()
            .filter(|row| row.policy.to_string() == *policy)
            .map(|row| (row.load, value(&row.score)));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
