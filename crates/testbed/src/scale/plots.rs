//! Plots of a scale run (SVG): task starts and waits of urgent jobs over time, with the faults
//! marked, and the fitted lines of a sweep with their points.

use super::fit::Fit;
use crate::TestbedError;
use plotters::prelude::*;
use std::path::Path;

const PLOT_SIZE: (u32, u32) = (900, 420);
/// Upper end of an axis as a multiple of its largest value.
const HEADROOM: f64 = 1.1;

/// A series over time in seconds, with the faults marked.
pub(super) struct TimePlot<'a> {
    pub title: &'a str,
    pub unit: &'a str,
    pub points: &'a [(f64, f64)],
    /// Whether to draw dots instead of a line.
    pub dots: bool,
    pub marks: &'a [(f64, String)],
}

fn draw_error(e: impl std::fmt::Display) -> TestbedError {
    TestbedError::Other(format!("cannot draw the plot: {e}"))
}

fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    let largest = values.filter(|v| v.is_finite()).fold(0.0, f64::max);
    if largest > 0.0 {
        largest * HEADROOM
    } else {
        1.0
    }
}

/// Draws a series over time.
pub(super) fn plot_over_time(path: &Path, plot: &TimePlot) -> Result<(), TestbedError> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let (end, top) = (
        axis_end(plot.points.iter().map(|p| p.0)),
        axis_end(plot.points.iter().map(|p| p.1)),
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(plot.unit)
        .draw()
        .map_err(draw_error)?;
    if plot.dots {
        let dots = plot
            .points
            .iter()
            .map(|p| Circle::new(*p, 2, BLUE.filled()));
        chart.draw_series(dots).map_err(draw_error)?;
    } else {
        let line = LineSeries::new(plot.points.iter().copied(), &BLUE);
        chart.draw_series(line).map_err(draw_error)?;
    }
    for (at, name) in plot.marks {
        let mark = PathElement::new(vec![(*at, 0.0), (*at, top)], RED);
        chart.draw_series([mark]).map_err(draw_error)?;
        let text = Text::new(
            name.clone(),
            (*at, top * 0.97),
            ("sans-serif", 11).into_font(),
        );
        chart.draw_series([text]).map_err(draw_error)?;
    }
    area.present().map_err(draw_error)
}

/// Draws measured points and the line fitted to them.
pub(super) fn plot_fit(
    path: &Path,
    title: &str,
    (x_name, y_name): (&str, &str),
    points: &[(f64, f64)],
    fit: Option<Fit>,
) -> Result<(), TestbedError> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let (right, top) = (
        axis_end(points.iter().map(|p| p.0)),
        axis_end(points.iter().map(|p| p.1)),
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc(x_name)
        .y_desc(y_name)
        .draw()
        .map_err(draw_error)?;
    chart
        .draw_series(points.iter().map(|p| Circle::new(*p, 4, BLUE.filled())))
        .map_err(draw_error)?;
    if let Some(fit) = fit {
        let line = [fit.from, fit.to].map(|x| (x, fit.y_at(x)));
        chart
            .draw_series(LineSeries::new(line, &RED))
            .map_err(draw_error)?;
    }
    area.present().map_err(draw_error)
}
