//! Renders a report as a self-contained HTML page with charts over time, in which the incidents are marked.

use crate::judge::SecondFigures;
use crate::report::Report;
use crate::run_result::Sample;
use plotters::prelude::*;
use std::fmt::Write;
use thiserror::Error;

/// Width of a chart in pixels.
const WIDTH: u32 = 960;
/// Height of a chart in pixels.
const HEIGHT: u32 = 220;
const COLORS: [RGBColor; 3] = [RGBColor(0, 90, 160), RGBColor(200, 60, 30), RGBColor(60, 140, 60)];
const INCIDENT_COLOR: RGBColor = RGBColor(230, 160, 0);
/// Minimum length of an incident's mark, in seconds.
const MIN_MARK_LENGTH_S: f64 = 0.2;

/// A chart could not be drawn. Holds the message of the chart library.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct ChartError(String);

fn chart_error<E: std::error::Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> ChartError {
    ChartError(error.to_string())
}

/// A chart over the time of a run.
struct Chart {
    title: &'static str,
    lines: Vec<Line>,
}

/// A line of a chart with one value for each second.
struct Line {
    name: &'static str,
    values: Vec<f64>,
}

/// Renders the HTML page of a report.
///
/// # Errors
/// If a chart cannot be drawn.
pub fn render(report: &Report) -> Result<String, ChartError> {
    let mut html = head(report);
    html.push_str("<ul>\n");
    for check in &report.checks {
        let class = if check.met { "held" } else { "missed" };
        let (figure, expected, actual) = (escaped(&check.figure), check.expected, check.actual);
        // Writing to a string does not fail.
        let _ =
            writeln!(html, "<li class=\"{class}\">{class}: {figure} {expected} expected, {actual:.4}</li>");
    }
    html.push_str("</ul>\n");
    for chart in charts(report) {
        html.push_str(&chart.svg(report)?);
        html.push('\n');
    }
    let _ = writeln!(html, "<pre>{}</pre>\n</body></html>", escaped(&report.text()));
    Ok(html)
}

fn head(report: &Report) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n<style>\n\
         body {{ font-family: sans-serif; max-width: {WIDTH}px; margin: 2em auto; }}\n\
         pre {{ background: #f4f4f4; padding: 1em; overflow-x: auto; }}\n\
         .missed {{ color: #b00; }}\n</style></head><body>\n<h1>{0}</h1>\n<p>Seed {1}.</p>\n",
        escaped(&report.name),
        report.seed
    )
}

fn charts(report: &Report) -> [Chart; 5] {
    let by_second = |name, value: fn(&SecondFigures) -> f64| Line {
        name,
        values: report.result.verdict.seconds.iter().map(value).collect(),
    };
    let by_sample = |name, value: fn(&Sample) -> f64| Line {
        name,
        values: report.result.samples.iter().map(value).collect(),
    };
    [
        Chart {
            title: "Service, as a part of the worth asked",
            lines: vec![by_second("service", SecondFigures::service)],
        },
        Chart {
            title: "Tries and attempts a second",
            lines: vec![
                by_second("tries taken", |second| f64::from(second.accepted)),
                by_second("attempts", |second| f64::from(second.attempts)),
            ],
        },
        Chart {
            title: "Refusals and failures a second",
            lines: vec![
                by_second("refused", |second| f64::from(second.rejected)),
                by_second("failed", |second| f64::from(second.failed)),
            ],
        },
        Chart {
            title: "Queues and misses",
            lines: vec![
                by_sample("in cache servers", |sample| sample.requests_in_servers as f64),
                by_sample("waiting at the origin", |sample| sample.origin_queue as f64),
                by_sample("misses a second", |sample| sample.misses as f64),
            ],
        },
        Chart {
            title: "Cache servers",
            lines: vec![
                by_sample("running", |sample| sample.servers as f64),
                by_sample("cold", |sample| sample.warming_servers as f64),
            ],
        },
    ]
}

impl Chart {
    fn svg(&self, report: &Report) -> Result<String, ChartError> {
        let length = report.result.verdict.seconds.len() as f64;
        let values = self.lines.iter().flat_map(|line| &line.values);
        let top = values.copied().fold(1.0, f64::max) * 1.05;
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(self.title, ("sans-serif", 15))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..length, 0.0..top)
                .map_err(chart_error)?;
            // Marks are drawn first, so that they lie under the lines.
            let marks = report.incidents.iter().map(|span| {
                let to = span.to_s.max(span.from_s + MIN_MARK_LENGTH_S).min(length);
                Rectangle::new([(span.from_s, 0.0), (to, top)], INCIDENT_COLOR.mix(0.15).filled())
            });
            chart.draw_series(marks).map_err(chart_error)?;
            let mut mesh = chart.configure_mesh();
            mesh.disable_x_mesh().light_line_style(TRANSPARENT).x_desc("s").draw().map_err(chart_error)?;
            for (line, color) in self.lines.iter().zip(COLORS) {
                let points =
                    line.values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
                chart
                    .draw_series(LineSeries::new(points, color.stroke_width(2)))
                    .map_err(chart_error)?
                    .label(line.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            }
            if self.lines.len() > 1 {
                let mut labels = chart.configure_series_labels();
                labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2));
                labels.draw().map_err(chart_error)?;
            }
            area.present().map_err(chart_error)?;
        }
        Ok(svg)
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
