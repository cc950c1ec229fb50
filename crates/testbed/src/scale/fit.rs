//! Fits lines to the figures of runs of several sizes by least squares, and predicts the figures of another
//! size.

use super::report::{bordered_table, ScaleReport, WindowFigures};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Write;
use thiserror::Error;

/// Minimum number of different sizes that a line can be fitted to.
pub const MIN_SIZES: usize = 3;

/// The independent variable of a fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// The number of hollow nodes.
    Nodes,
    /// The number of hollow nodes times the number of servers on the list.
    NodesTimesServers,
    /// The number of servers on the list.
    Servers,
}

/// A line fitted to the points of one figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The figure's name and unit.
    pub figure: String,
    /// The independent variable.
    pub over: Variable,
    /// The size and the measured figure of each result, in the order of the results.
    pub points: Vec<(f64, f64)>,
    /// The slope.
    pub slope: f64,
    /// The figure at size 0.
    pub intercept: f64,
    /// The root mean square of the residuals, in the figure's unit.
    pub residual_rms: f64,
    /// The largest absolute residual, as a fraction of the figure of its point.
    pub residual_largest: f64,
    /// The prediction for another size, if a result of that size was given.
    pub prediction: Option<Prediction>,
}

/// The prediction for a size that the line was not fitted to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The size.
    pub size: f64,
    /// The predicted figure.
    pub predicted: f64,
    /// The measured figure.
    pub measured: f64,
    /// The prediction error as a fraction of the measured figure; positive if the prediction is too high.
    pub miss: f64,
}

/// The lines fitted to all figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The name of the script of all results.
    pub name: String,
    /// The numbers of nodes and servers of each result.
    pub sizes: Vec<(u32, u32)>,
    /// The numbers of nodes and servers of the predicted result.
    pub predicted_size: Option<(u32, u32)>,
    /// The fitted lines.
    pub lines: Vec<Line>,
}

/// The reason why no line can be fitted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// There are fewer than [`MIN_SIZES`] different sizes.
    #[error("a slope needs results of {MIN_SIZES} sizes at least, found {found}")]
    TooFewSizes {
        /// The number of sizes.
        found: usize,
    },
    /// The results differ in script, replicas or mechanism.
    #[error(
        "all results have to be of one script, replicas and mechanism: expected {expected}, found {found}"
    )]
    Mixed {
        /// Script, replicas and mechanism of the first result.
        expected: String,
        /// Those of a result that differs.
        found: String,
    },
}

/// The name of a figure, its independent variable, and a function that reads it from a result.
type Figure = (&'static str, Variable, fn(&ScaleReport) -> Option<f64>);

fn active(report: &ScaleReport, of: impl Fn(&WindowFigures) -> f64) -> Option<f64> {
    report.active.as_ref().map(of)
}

/// The figures that lines are fitted to.
const FIGURES: &[Figure] = &[
    ("hollow nodes' processor at rest, s/s", Variable::Nodes, |report| {
        Some(report.rest.hollow_processor_s / report.rest.seconds)
    }),
    ("hollow nodes' processor at rest, s/s", Variable::NodesTimesServers, |report| {
        Some(report.rest.hollow_processor_s / report.rest.seconds)
    }),
    ("one node's processor at rest, us/s", Variable::Servers, |report| {
        Some(report.rest.node_processor_us_per_s)
    }),
    ("hollow nodes' resident at rest, bytes", Variable::NodesTimesServers, |report| {
        Some(report.rest.hollow_resident_bytes as f64)
    }),
    ("hollow nodes' resident at rest, bytes", Variable::Nodes, |report| {
        Some(report.rest.hollow_resident_bytes as f64)
    }),
    ("one node's resident at rest, bytes", Variable::Servers, |report| Some(report.rest.node_resident_bytes)),
    ("bytes from nodes at rest, B/s", Variable::Nodes, |report| {
        Some(report.rest.bytes_from_nodes as f64 / report.rest.seconds)
    }),
    ("bytes to nodes at rest, B/s", Variable::Nodes, |report| {
        Some(report.rest.bytes_to_nodes as f64 / report.rest.seconds)
    }),
    ("calls at rest, 1/s", Variable::Nodes, |report| Some(report.rest.calls as f64 / report.rest.seconds)),
    ("replicas' processor at rest, s/s", Variable::Nodes, |report| {
        Some(report.rest.replicas_processor_s / report.rest.seconds)
    }),
    ("hollow nodes' processor with events, s/s", Variable::Nodes, |report| {
        active(report, |window| window.hollow_processor_s / window.seconds)
    }),
    ("hollow nodes' processor with events, s/s", Variable::NodesTimesServers, |report| {
        active(report, |window| window.hollow_processor_s / window.seconds)
    }),
    ("one node's processor for a change, us", Variable::Servers, |report| report.node_delta_us),
    ("one node's processor for a whole list, us", Variable::Servers, |report| report.node_snapshot_us),
    ("bytes to nodes with events, B/s", Variable::Nodes, |report| {
        active(report, |window| window.bytes_to_nodes as f64 / window.seconds)
    }),
    ("lines of all replicas with events, 1/s", Variable::Nodes, |report| {
        active(report, |window| window.lines / window.seconds)
    }),
    ("replicas' processor with events, s/s", Variable::Nodes, |report| {
        active(report, |window| window.replicas_processor_s / window.seconds)
    }),
    ("from change to act, p50, ms", Variable::Nodes, |report| {
        (report.propagation.times.count > 0).then_some(report.propagation.times.p50_ms)
    }),
    ("from change to act, p99, ms", Variable::Nodes, |report| {
        (report.propagation.times.count > 0).then_some(report.propagation.times.p99_ms)
    }),
    ("from change to act, last, ms", Variable::Nodes, |report| {
        (report.propagation.times.count > 0).then_some(report.propagation.times.last_ms)
    }),
    ("largest group ready, multiples of sending", Variable::Nodes, |report| {
        (report.readiness.launched > 0).then_some(report.readiness.largest_group_multiple)
    }),
];

/// Fits lines to the results, and predicts the figures of another result if one is given.
///
/// # Errors
/// If there are fewer than [`MIN_SIZES`] different sizes, or the results differ in script, replicas or
/// mechanism.
pub fn fit(results: &[ScaleReport], predicted: Option<&ScaleReport>) -> Result<Fit, FitError> {
    let size = |report: &ScaleReport| (report.nodes, report.servers);
    let sizes: BTreeSet<_> = results.iter().map(size).collect();
    if sizes.len() < MIN_SIZES {
        return Err(FitError::TooFewSizes { found: sizes.len() });
    }
    let expected = result_kind(&results[0]);
    if let Some(found) = results.iter().chain(predicted).map(result_kind).find(|found| *found != expected) {
        return Err(FitError::Mixed { expected, found });
    }
    let lines = FIGURES.iter().filter_map(|figure| line_of(figure, results, predicted)).collect();
    Ok(Fit {
        name: results[0].name.clone(),
        sizes: results.iter().map(size).collect(),
        predicted_size: predicted.map(size),
        lines,
    })
}

fn result_kind(report: &ScaleReport) -> String {
    let mechanism = if report.mechanism { "on" } else { "off" };
    format!("{} with {} replicas, mechanism {mechanism}", report.name, report.replicas)
}

/// Fits a line to one figure. Returns `None` if a result lacks the figure, or there are too few sizes.
fn line_of(figure: &Figure, results: &[ScaleReport], predicted: Option<&ScaleReport>) -> Option<Line> {
    let &(name, over, of) = figure;
    let point = |report: &ScaleReport| Some((over.value(report), of(report)?));
    let points = results.iter().map(point).collect::<Option<Vec<_>>>()?;
    let mut line = Line::least_squares(points)?;
    line.figure = name.into();
    line.over = over;
    line.prediction = predicted.and_then(point).map(|(size, measured)| {
        let predicted = line.at(size);
        Prediction { size, predicted, measured, miss: ratio(predicted - measured, measured) }
    });
    Some(line)
}

impl Variable {
    fn value(self, report: &ScaleReport) -> f64 {
        let (nodes, servers) = (f64::from(report.nodes), f64::from(report.servers));
        match self {
            Variable::Nodes => nodes,
            Variable::NodesTimesServers => nodes * servers,
            Variable::Servers => servers,
        }
    }

    /// Returns the name of the variable for tables and plots.
    pub fn label(self) -> &'static str {
        match self {
            Variable::Nodes => "nodes",
            Variable::NodesTimesServers => "nodes x servers",
            Variable::Servers => "servers",
        }
    }
}

impl Line {
    /// Fits a line to points by least squares. Returns `None` if there are fewer than [`MIN_SIZES`] different
    /// sizes.
    pub fn least_squares(points: Vec<(f64, f64)>) -> Option<Self> {
        let distinct_sizes: BTreeSet<_> = points.iter().map(|(size, _)| size.to_bits()).collect();
        if distinct_sizes.len() < MIN_SIZES {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_figure = points.iter().map(|(_, figure)| figure).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let covariance: f64 =
            points.iter().map(|(size, figure)| (size - mean_size) * (figure - mean_figure)).sum();
        let slope = covariance / variance;
        let intercept = mean_figure - slope * mean_size;
        let residual = |&(size, figure): &(f64, f64)| figure - (intercept + slope * size);
        let squares: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let largest = points.iter().map(|point| ratio(residual(point), point.1).abs()).fold(0.0, f64::max);
        Some(Self {
            figure: String::new(),
            over: Variable::Nodes,
            slope,
            intercept,
            residual_rms: (squares / count).sqrt(),
            residual_largest: largest,
            prediction: None,
            points,
        })
    }

    /// Returns the figure that the line gives for a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Divides two values. Returns 0 if the numerator is 0.
fn ratio(numerator: f64, denominator: f64) -> f64 {
    if numerator == 0.0 {
        0.0
    } else {
        numerator / denominator
    }
}

impl Fit {
    /// Formats the lines as a table for the terminal.
    pub fn text(&self) -> String {
        let format_size = |(nodes, servers): &(u32, u32)| format!("{nodes} x {servers}");
        let sizes: Vec<_> = self.sizes.iter().map(format_size).collect();
        let mut text = format!("{}: lines through nodes x servers of {}", self.name, sizes.join(", "));
        if let Some(size) = &self.predicted_size {
            let _ = write!(text, "; {} predicted", format_size(size));
        }
        let mut table = bordered_table([
            "figure",
            "over",
            "slope",
            "intercept",
            "residual, RMS",
            "largest",
            "predicted",
            "measured",
            "miss",
        ]);
        for line in &self.lines {
            let prediction =
                |of: &dyn Fn(&Prediction) -> String| line.prediction.as_ref().map(of).unwrap_or_default();
            table.add_row([
                line.figure.clone(),
                line.over.label().into(),
                format_number(line.slope),
                format_number(line.intercept),
                format_number(line.residual_rms),
                format!("{:.1}%", line.residual_largest * 100.0),
                prediction(&|prediction| format_number(prediction.predicted)),
                prediction(&|prediction| format_number(prediction.measured)),
                prediction(&|prediction| format!("{:+.1}%", prediction.miss * 100.0)),
            ]);
        }
        let _ = write!(text, "\n{table}\n");
        text
    }
}

/// Formats a number with four or five significant digits.
fn format_number(value: f64) -> String {
    if value == 0.0 || (0.01..1e6).contains(&value.abs()) {
        let whole_digits = value.abs().max(1.0).log10().floor() as usize + 1;
        let decimals = 5_usize.saturating_sub(whole_digits);
        format!("{value:.decimals$}")
    } else {
        format!("{value:.3e}")
    }
}
