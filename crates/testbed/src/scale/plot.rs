//! Plots the results of scale runs as SVG.

use super::fit::{Fit, Line};
use super::report::ScaleReport;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

const WIDTH: u32 = 960;
const HEIGHT: u32 = 420;
/// Width of the plot of one fitted line.
const FIT_WIDTH: u32 = 480;
const FIT_HEIGHT: u32 = 260;
const BLUE_LINE: RGBColor = RGBColor(0, 90, 160);
const RED_POINT: RGBColor = RGBColor(200, 60, 30);
/// Ratio of the length of an axis to the largest value on it.
const MARGIN: f64 = 1.05;

/// An error while drawing a plot.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct PlotError(String);

fn plot_error<E: std::error::Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> PlotError {
    PlotError(error.to_string())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Plots the cumulative distribution of the time from a change of the list until a node applies it.
///
/// # Errors
/// If the plot cannot be drawn.
pub fn propagation(report: &ScaleReport) -> Result<String, PlotError> {
    let points: Vec<_> = report
        .propagation
        .distribution
        .iter()
        .map(|&(fraction, millis)| (millis / 1e3, fraction * 100.0))
        .collect();
    let longest = points.iter().map(|&(seconds, _)| seconds).fold(0.001, f64::max) * MARGIN;
    let caption = format!(
        "{}: from a change to nodes that act on it, {} nodes, {} servers, {} replicas",
        report.name, report.nodes, report.servers, report.replicas
    );
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..longest, 0.0..100.0)
            .map_err(plot_error)?;
        chart.configure_mesh().x_desc("s").y_desc("% of acts").draw().map_err(plot_error)?;
        chart.draw_series(LineSeries::new(points, BLUE_LINE.stroke_width(2))).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Plots the points and the fitted line of each figure, and the measured value at the predicted size.
///
/// # Errors
/// If the plot cannot be drawn.
pub fn fits(fit: &Fit) -> Result<String, PlotError> {
    let rows = fit.lines.len().div_ceil(2).max(1);
    let mut svg = String::new();
    {
        let size = (FIT_WIDTH * 2, FIT_HEIGHT * rows as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let parts = area.split_evenly((rows, 2));
        for (part, line) in parts.iter().zip(&fit.lines) {
            draw_line(part, line)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn draw_line(area: &Area, line: &Line) -> Result<(), PlotError> {
    let predicted: Vec<_> =
        line.prediction.iter().map(|prediction| (prediction.size, prediction.measured)).collect();
    let all = || line.points.iter().chain(&predicted);
    let largest = all().map(|&(size, _)| size).fold(f64::MIN_POSITIVE, f64::max) * MARGIN;
    let ends = [(0.0, line.at(0.0)), (largest, line.at(largest))];
    let figures = || all().chain(&ends).map(|&(_, figure)| figure);
    let highest = figures().fold(f64::MIN_POSITIVE, f64::max) * MARGIN;
    let lowest = figures().fold(0.0, f64::min);
    let mut chart = ChartBuilder::on(area)
        .caption(&line.figure, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..largest, lowest..highest)
        .map_err(plot_error)?;
    chart.configure_mesh().x_desc(line.over.label()).x_labels(5).y_labels(5).draw().map_err(plot_error)?;
    chart.draw_series(LineSeries::new(ends, BLUE_LINE.stroke_width(1))).map_err(plot_error)?;
    let measured = line.points.iter().map(|&point| Circle::new(point, 3, BLUE_LINE.filled()));
    chart.draw_series(measured).map_err(plot_error)?;
    let predicted = predicted.iter().map(|&point| Circle::new(point, 4, RED_POINT.stroke_width(2)));
    chart.draw_series(predicted).map_err(plot_error)?;
    Ok(())
}
