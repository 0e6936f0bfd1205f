//! Plots the frontier between the tail latency of online requests and batch throughput.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

/// A policy at one setting.
#[derive(Clone, Debug)]
pub struct Point {
    /// The policy.
    pub policy: &'static str,
    /// Label of its setting.
    pub setting: String,
    /// The higher of the two p99 ratios to the run without batch work.
    pub tail_ratio: f64,
    /// Batch tokens relative to the oracle's.
    pub batch_fraction: f64,
}

/// The points of one deployment and scenario.
#[derive(Clone, Debug)]
pub struct Panel {
    /// Title of the panel.
    pub title: String,
    /// The points of the panel.
    pub points: Vec<Point>,
}

const SIZE: (u32, u32) = (1_350, 900);
const COLUMNS: usize = 3;
const MAX_TAIL_RATIO: f64 = 2.6;
/// The target area: highest tail ratio and lowest batch fraction.
const TARGET: (f64, f64) = (1.05, 0.9);
const SERIES: [(&str, RGBColor); 4] = [
    ("adaptive-cancel", RGBColor(0, 90, 160)),
    ("fixed-split", RGBColor(200, 90, 0)),
    ("oracle", RGBColor(90, 90, 90)),
    ("all-admitted", RGBColor(190, 0, 60)),
];

/// Draws the panels into an SVG file. Points beyond the right edge are drawn on it.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn draw(path: &Path, panels: &[Panel]) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed =
        |error: &dyn std::fmt::Display| eyre!("could not draw {}: {error}", path.display());
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let rows = panels.len().div_ceil(COLUMNS).max(1);
    for (area, panel) in root.split_evenly((rows, COLUMNS)).iter().zip(panels) {
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.95..MAX_TAIL_RATIO, 0.0..1.05)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .x_desc("worse of the p99 ratios to alone")
            .y_desc("batch, of the oracle's")
            .draw()
            .map_err(|e| failed(&e))?;
        let target = Rectangle::new(
            [(0.95, TARGET.1), (TARGET.0, 1.05)],
            GREEN.mix(0.3).filled(),
        );
        chart.draw_series([target]).map_err(|e| failed(&e))?;
        for (policy, colour) in SERIES {
            let points: Vec<&Point> = panel.points.iter().filter(|p| p.policy == policy).collect();
            let position =
                |point: &Point| (point.tail_ratio.min(MAX_TAIL_RATIO), point.batch_fraction);
            let line = LineSeries::new(points.iter().map(|point| position(point)), colour);
            let drawn = chart.draw_series(line).map_err(|e| failed(&e))?;
            drawn
                .label(policy)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
            let dots = points
                .iter()
                .map(|point| Circle::new(position(point), 3, colour.filled()));
            chart.draw_series(dots).map_err(|e| failed(&e))?;
            let labels = points.iter().map(|point| {
                Text::new(
                    point.setting.clone(),
                    position(point),
                    ("sans-serif", 11).into_font(),
                )
            });
            chart.draw_series(labels).map_err(|e| failed(&e))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .draw()
            .map_err(|e| failed(&e))?;
    }
    root.present().map_err(|e| failed(&e))
}
