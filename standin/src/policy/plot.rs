//! The frontier between questions' tail and batch throughput, as a plot.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

/// One policy at one setting.
#[derive(Clone, Debug)]
pub struct Point {
    /// The policy.
    pub policy: &'static str,
    /// Its setting.
    pub mark: String,
    /// The worse of the two tails against that without batch work.
    pub harm: f64,
    /// Batch tokens against the oracle's.
    pub batch: f64,
}

/// The points of one deployment and scenario.
#[derive(Clone, Debug)]
pub struct Panel {
    /// What is shown.
    pub title: String,
    /// The points.
    pub points: Vec<Point>,
}

const SIZE: (u32, u32) = (1_350, 900);
const COLUMNS: usize = 3;
const MOST_HARM: f64 = 2.6;
/// What the aim allows: harm and batch.
const AIM: (f64, f64) = (1.05, 0.9);
const SERIES: [(&str, RGBColor); 4] = [
    ("adaptive-cancel", RGBColor(0, 90, 160)),
    ("fixed-split", RGBColor(200, 90, 0)),
    ("oracle", RGBColor(90, 90, 90)),
    ("all-admitted", RGBColor(190, 0, 60)),
];

/// Draws the panels into an SVG file. Points beyond the right edge are drawn
/// at it.
///
/// # Errors
/// When the file can't be written.
pub fn draw(path: &Path, panels: &[Panel]) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| eyre!("can't draw {}: {error}", path.display());
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let rows = panels.len().div_ceil(COLUMNS).max(1);
    for (area, panel) in root.split_evenly((rows, COLUMNS)).iter().zip(panels) {
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.95..MOST_HARM, 0.0..1.05)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .x_desc("worse of the p99 ratios to alone")
            .y_desc("batch, of the oracle's")
            .draw()
            .map_err(|e| failed(&e))?;
        let aim = Rectangle::new([(0.95, AIM.1), (AIM.0, 1.05)], GREEN.mix(0.3).filled());
        chart.draw_series([aim]).map_err(|e| failed(&e))?;
        for (policy, colour) in SERIES {
            let points: Vec<&Point> = panel.points.iter().filter(|p| p.policy == policy).collect();
            let place = |point: &Point| (point.harm.min(MOST_HARM), point.batch);
            let line = LineSeries::new(points.iter().map(|point| place(point)), colour);
            let drawn = chart.draw_series(line).map_err(|e| failed(&e))?;
            drawn
                .label(policy)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
            let dots = points
                .iter()
                .map(|point| Circle::new(place(point), 3, colour.filled()));
            chart.draw_series(dots).map_err(|e| failed(&e))?;
            let marks = points.iter().map(|point| {
                Text::new(
                    point.mark.clone(),
                    place(point),
                    ("sans-serif", 11).into_font(),
                )
            });
            chart.draw_series(marks).map_err(|e| failed(&e))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .draw()
            .map_err(|e| failed(&e))?;
    }
    root.present().map_err(|e| failed(&e))
}
