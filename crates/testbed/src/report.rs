//! The report of a run, as text for the terminal and as JSON for programs.

use crate::counts::Counts;
use crate::judge::SecondFigures;
use crate::run_result::RunResult;
use crate::script::{Fault, Incident, Script};
use checked_toml::time_text;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{CellAlignment, Table};
use serde::Serialize;
use std::fmt::Write;

/// The result of a run with its incidents and the checks of its expectations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The name of the script.
    pub name: String,
    /// The seed of the run.
    pub seed: u64,
    /// Whether the run was aborted. The figures then cover only the time before that.
    pub partial: bool,
    /// The incidents of the script.
    pub incidents: Vec<IncidentSpan>,
    /// The expectations, and whether they were met.
    pub checks: Vec<Check>,
    /// The result of the run.
    #[serde(flatten)]
    pub result: RunResult,
}

/// An incident on the time axis, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IncidentSpan {
    /// Start of the incident.
    pub from_s: f64,
    /// End of the incident.
    pub to_s: f64,
    /// The fault and its time, in words.
    #[serde(rename = "what")]
    pub description: String,
}

/// An expectation compared with the figure of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// Name of the figure.
    #[serde(rename = "what")]
    pub figure: String,
    /// Expected value: a minimum for service, a maximum for counts, and an exact value for violations of
    /// rules.
    #[serde(rename = "wanted")]
    pub expected: f64,
    /// Value in the run.
    #[serde(rename = "got")]
    pub actual: f64,
    /// Whether the expectation was met.
    #[serde(rename = "held")]
    pub met: bool,
}

impl Report {
    /// Creates the report of a run and checks the run against the expectations of its script.
    pub fn new(script: &Script, result: RunResult) -> Self {
        let checks = std::iter::once(rules_check(&result))
            .chain(service_checks(script, &result))
            .chain(count_checks(script, &result));
        Self {
            name: script.name.clone(),
            seed: script.seed,
            partial: false,
            incidents: script.incidents.iter().map(|incident| incident_span(script, incident)).collect(),
            checks: checks.collect(),
            result,
        }
    }

    /// Returns whether all expectations were met.
    pub fn all_met(&self) -> bool {
        self.checks.iter().all(|check| check.met)
    }

    /// Returns the report as one line of JSON. Equal runs give equal bytes.
    pub fn json(&self) -> String {
        // Serialization fails only for maps whose keys are not strings, and there are none.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns a table, a timeline, the violations and the checks as text for the terminal.
    pub fn text(&self) -> String {
        let partial =
            if self.partial { "PARTIAL: broken off; all figures are of the time until then\n" } else { "" };
        let mut text =
            format!("{} (seed {})\n{partial}{}\n{}", self.name, self.seed, self.table(), self.timeline());
        for violation in &self.result.verdict.violations {
            let _ = writeln!(
                text,
                "rule {} at {:.3} s: {}",
                violation.rule, violation.at_s, violation.description
            );
            if let Some(trace) = &violation.trace {
                let _ = writeln!(text, "  {trace}");
            }
        }
        for check in &self.checks {
            let (word, suffix) = if check.met { ("held", "") } else { ("MISSED", " instead") };
            let Check { figure, expected, actual, .. } = check;
            let _ = writeln!(text, "{word}: {figure} {expected} expected, {actual:.4}{suffix}");
        }
        text
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        let rows = [self.service_rows(), self.request_rows(), self.origin_rows(), self.count_rows()];
        rows.into_iter().flatten().for_each(|(name, value)| {
            table.add_row([name, value]);
        });
        let violations = self.result.verdict.violation_counts;
        table.add_row(["rules broken, 1 to 4".to_owned(), joined(&violations)]);
        if let Some(column) = table.column_mut(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        table
    }

    fn service_rows(&self) -> Vec<(String, String)> {
        let service = &self.result.verdict.service;
        let (worst, from) = service.worst_window;
        let mut rows = vec![
            ("service".into(), format!("{:.4}", service.overall)),
            ("worst 10 s".into(), format!("{worst:.4} from {from} s")),
        ];
        let classes = service.classes.iter();
        rows.extend(classes.map(|(class, service)| (format!("  {class}"), format!("{service:.4}"))));
        rows
    }

    fn request_rows(&self) -> Vec<(String, String)> {
        let verdict = &self.result.verdict;
        let [served, rejected, failed, _] = verdict.answers;
        let attempts_per_request = verdict.attempts as f64 / verdict.accepted.max(1) as f64;
        vec![
            ("asked, tries taken".into(), joined(&[verdict.operations, verdict.accepted])),
            ("served, refused, failed".into(), joined(&[served, rejected, failed])),
            ("attempts a try".into(), format!("{attempts_per_request:.2}")),
        ]
    }

    fn origin_rows(&self) -> Vec<(String, String)> {
        let (accepted, rejected) = self.result.fetches;
        vec![
            ("held by its cache server".into(), format!("{:.1}%", self.result.hit_rate * 100.0)),
            ("fetches, turned away".into(), joined(&[accepted, rejected])),
            ("most waiting at the origin".into(), self.result.origin_queue.to_string()),
        ]
    }

    /// Returns no rows for runs on sockets, which have no counts.
    fn count_rows(&self) -> Vec<(String, String)> {
        if self.result.counts.is_empty() {
            return Vec::new();
        }
        let sum: Counts = self.result.counts.iter().copied().sum();
        let attempts = [sum.healthy, sum.warming_up, sum.faulty, sum.draining, sum.removed, sum.unreachable];
        let list_calls = [sum.list_calls, sum.list_calls_failed, sum.list_lines];
        vec![
            ("met well, cold, bad, draining, gone, cut off".into(), joined(&attempts)),
            ("connections opened, failed".into(), joined(&[sum.connects, sum.connects_failed])),
            ("calls for lists, failed, lines".into(), joined(&list_calls)),
        ]
    }

    /// Returns bars of service and rejections by second, with the incidents below them.
    fn timeline(&self) -> String {
        let seconds = &self.result.verdict.seconds;
        let rejected =
            |second: &SecondFigures| f64::from(second.rejected) / f64::from(second.accepted.max(1));
        let mut text = String::new();
        let _ = writeln!(text, "  service  {}", bars(seconds.iter().map(SecondFigures::service)));
        let _ = writeln!(text, "  refused  {}", bars(seconds.iter().map(rejected)));
        for span in &self.incidents {
            let from = span.from_s.floor();
            let to = span.to_s.ceil().max(from + 1.0) as usize;
            let from = from as usize;
            let (indent, line) = (" ".repeat(from), "─".repeat(to - from));
            let _ = writeln!(text, "           {indent}{line} {}", span.description);
        }
        let axis: String = (0..seconds.len()).step_by(10).map(|second| format!("{second:<10}")).collect();
        let _ = writeln!(text, "           {axis}");
        text
    }
}

fn rules_check(result: &RunResult) -> Check {
    let violations: u64 = result.verdict.violation_counts.iter().sum();
    Check { figure: "rules broken".into(), expected: 0.0, actual: violations as f64, met: violations == 0 }
}

fn service_checks(script: &Script, result: &RunResult) -> Vec<Check> {
    let (minimum, service) = (&script.expectations, &result.verdict.service);
    let figures = [
        ("service", minimum.service, service.overall),
        ("worst 10 s", minimum.worst_window, service.worst_window.0),
        ("worst class", minimum.worst_class, service.worst_class),
    ];
    let checks = figures.into_iter().filter_map(|(figure, minimum, actual)| {
        let expected = minimum?;
        Some(Check { figure: figure.into(), expected, actual, met: actual >= expected })
    });
    checks.collect()
}

/// Returns no checks for runs on sockets, which have no counts.
fn count_checks(script: &Script, result: &RunResult) -> Vec<Check> {
    if result.counts.is_empty() {
        return Vec::new();
    }
    let sum: Counts = result.counts.iter().copied().sum();
    let maximum = &script.expectations;
    let figures = [
        ("attempts at gone or cut-off servers", maximum.lost_attempts, sum.lost_attempts()),
        ("attempts at bad servers", maximum.faulty_attempts, sum.faulty),
        ("connections opened", maximum.connects, sum.connects),
        ("calls to discovery that failed", maximum.failed_list_calls, sum.list_calls_failed),
    ];
    let checks = figures.into_iter().filter_map(|(figure, maximum, actual)| {
        let maximum = maximum?;
        let figure = format!("{figure}, at most");
        Some(Check { figure, expected: maximum as f64, actual: actual as f64, met: actual <= maximum })
    });
    checks.collect()
}

fn incident_span(script: &Script, incident: &Incident) -> IncidentSpan {
    let zone = incident.zone.map_or_else(String::new, |zone| format!(" in {}", script.zones[zone]));
    IncidentSpan {
        from_s: incident.at.as_secs_f64(),
        to_s: (incident.at + incident.duration).as_secs_f64(),
        description: format!(
            "{}{zone} from {} for {}",
            describe_fault(&incident.fault),
            time_text(incident.at),
            time_text(incident.duration)
        ),
    }
}

fn joined(counts: &[u64]) -> String {
    counts.iter().map(u64::to_string).collect::<Vec<_>>().join(", ")
}

/// Returns a bar character for each fraction from 0 to 1.
fn bars(fractions: impl Iterator<Item = f64>) -> String {
    const BARS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    fractions.map(|fraction| BARS[((fraction * 8.0).round() as usize).min(8)]).collect()
}

/// Describes a fault in words.
pub fn describe_fault(fault: &Fault) -> String {
    let percent = |share: f64| format!("{:.0}%", share * 100.0);
    match fault {
        Fault::Shrink { share, .. } => format!("{} of the fleet drained for good", percent(*share)),
        Fault::Deploy { share, batch, .. } => {
            format!("{} replaced, {} at a time", percent(*share), percent(*batch))
        }
        Fault::RestartNodes { share, killed: true, .. } => format!("{} of the nodes killed", percent(*share)),
        Fault::RestartNodes { share, .. } => format!("{} of the nodes restarted", percent(*share)),
        Fault::Upgrade { share, .. } => format!("{} of the nodes upgraded", percent(*share)),
        Fault::Reload { share, times } => {
            format!("{} of the nodes reload, {times} times each", percent(*share))
        }
        Fault::Crash { share } => format!("{} of the boxes dead", percent(*share)),
        Fault::Unreachable { share } => format!("{} of the boxes cut off", percent(*share)),
        Fault::Pause { share } => format!("{} of the boxes standing still", percent(*share)),
        Fault::Errors { share, rate } => {
            format!("errors for {} at {} of the boxes", percent(*rate), percent(*share))
        }
        Fault::Delay { share, extra } => {
            format!("{} later to and from {} of the boxes", time_text(*extra), percent(*share))
        }
        Fault::Loss { share, rate } => {
            format!("{} of the packets lost at {} of the boxes", percent(*rate), percent(*share))
        }
        Fault::Resets { share, rate } => {
            format!("{} of the answers broken off at {} of the boxes", percent(*rate), percent(*share))
        }
        Fault::HalfOpen { share } => format!("connections to {} of the boxes forgotten", percent(*share)),
        Fault::HotKeys { keys, share } => format!("{} of all requests for {keys} keys", percent(*share)),
        Fault::Surge { factor } => format!("traffic times {factor}"),
        Fault::SlowOrigin { factor } => format!("origin slower by {factor}"),
        Fault::DiscoveryOutage => "discovery away".into(),
        Fault::DiscoveryErrors { rate } => format!("{} of discovery's answers broken", percent(*rate)),
    }
}
