//! A play as one HTML page that needs nothing else: timelines with the script's incidents marked.

use crate::report::Report;
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write;

const WIDTH: u32 = 960;
const HEIGHT: u32 = 220;
const COLORS: [RGBColor; 3] = [RGBColor(0, 90, 160), RGBColor(200, 60, 30), RGBColor(60, 140, 60)];

/// A line on a timeline: its name and a value for each second.
type Line = (&'static str, Vec<f64>);

/// The page of a report.
pub fn page(report: &Report) -> Result<String, Box<dyn Error>> {
    let seconds = &report.played.verdict.seconds;
    let samples = &report.played.samples;
    let by_second = |of: &dyn Fn(&crate::ledger::Second) -> f64| seconds.iter().map(of).collect::<Vec<_>>();
    let by_sample = |of: &dyn Fn(&crate::simulate::Sample) -> usize| {
        samples.iter().map(|sample| of(sample) as f64).collect::<Vec<_>>()
    };
    let service = by_second(&|second| if second.worth > 0.0 { second.got / second.worth } else { 1.0 });
    let timelines: [(&str, Vec<Line>); 5] = [
        ("Service, as a part of the worth asked", vec![("service", service)]),
        (
            "Tries and attempts a second",
            vec![
                ("tries taken", by_second(&|second| f64::from(second.taken))),
                ("attempts", by_second(&|second| f64::from(second.attempts))),
            ],
        ),
        (
            "Refusals and failures a second",
            vec![
                ("refused", by_second(&|second| f64::from(second.refused))),
                ("failed", by_second(&|second| f64::from(second.failed))),
            ],
        ),
        (
            "Queues and misses",
            vec![
                ("in cache servers", by_sample(&|sample| sample.held)),
                ("waiting at the origin", by_sample(&|sample| sample.origin_waiting)),
                ("misses a second", samples.iter().map(|sample| sample.misses as f64).collect()),
            ],
        ),
        (
            "Cache servers",
            vec![
                ("running", by_sample(&|sample| sample.running)),
                ("cold", by_sample(&|sample| sample.cold)),
            ],
        ),
    ];
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n<style>\n\
         body {{ font-family: sans-serif; max-width: {WIDTH}px; margin: 2em auto; }}\n\
         pre {{ background: #f4f4f4; padding: 1em; overflow-x: auto; }}\n\
         .missed {{ color: #b00; }}\n</style></head><body>\n<h1>{0}</h1>\n<p>Seed {1}.</p>\n<ul>\n",
        escaped(&report.name),
        report.seed
    );
    for check in &report.checks {
        let (class, word) = if check.held { ("held", "held") } else { ("missed", "missed") };
        let (what, wanted, got) = (escaped(&check.what), check.wanted, check.got);
        writeln!(html, "<li class=\"{class}\">{word}: {what} {wanted} expected, {got:.4}</li>")?;
    }
    html.push_str("</ul>\n");
    for (title, lines) in &timelines {
        html.push_str(&timeline(report, title, lines)?);
        html.push('\n');
    }
    writeln!(html, "<pre>{}</pre>\n</body></html>", escaped(&report.text()))?;
    Ok(html)
}

fn timeline(report: &Report, title: &str, lines: &[Line]) -> Result<String, Box<dyn Error>> {
    let length = report.played.verdict.seconds.len() as f64;
    let top = lines.iter().flat_map(|(_, values)| values).copied().fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length, 0.0..top)?;
        // Under the lines: when what went wrong was under way.
        chart.draw_series(report.incidents.iter().map(|mark| {
            let to = mark.to_s.max(mark.from_s + 0.2).min(length);
            Rectangle::new([(mark.from_s, 0.0), (to, top)], RGBColor(230, 160, 0).mix(0.15).filled())
        }))?;
        chart.configure_mesh().disable_x_mesh().light_line_style(TRANSPARENT).x_desc("s").draw()?;
        for ((name, values), color) in lines.iter().zip(COLORS) {
            let points = values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.2))
                .draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
