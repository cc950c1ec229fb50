//! Compares several runs of one script, to show how much its figures vary by chance or because of the
//! machine.

#[cfg(test)]
mod tests;

use crate::report::Report;
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use std::collections::BTreeSet;

/// The figures of several runs of one script.
#[derive(Clone, Debug, PartialEq)]
pub struct Variance {
    name: String,
    /// Figures of the runs with the script's own seed.
    same_seed: Figures,
    /// The distinct reports of these runs.
    same_seed_reports: BTreeSet<String>,
    /// Figures of the runs with several seeds, one run for each seed.
    other_seeds: Figures,
    /// Violations of rules in all runs.
    violations: u64,
    /// Number of runs that did not meet the expectations of the script.
    missed: u64,
    /// Number of runs without figures because the machine was too busy.
    void: u64,
}

/// Figures of several runs.
#[derive(Clone, Debug, Default, PartialEq)]
struct Figures {
    service: Vec<f64>,
    worst_window: Vec<f64>,
}

impl Figures {
    fn add(&mut self, report: &Report) {
        let service = &report.result.verdict.service;
        self.service.push(service.overall);
        self.worst_window.push(service.worst_window.0);
    }
}

impl Variance {
    /// Creates the comparison for the script of this name, without any runs.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            same_seed: Figures::default(),
            same_seed_reports: BTreeSet::new(),
            other_seeds: Figures::default(),
            violations: 0,
            missed: 0,
            void: 0,
        }
    }

    /// Adds a run with the script's own seed.
    pub fn add_same_seed(&mut self, report: &Report) {
        self.same_seed.add(report);
        self.same_seed_reports.insert(report.json());
        self.count_failures(report);
    }

    /// Adds a run with one of several seeds.
    pub fn add_other_seed(&mut self, report: &Report) {
        self.other_seeds.add(report);
        self.count_failures(report);
    }

    /// Adds a run without figures.
    pub fn add_void(&mut self) {
        self.void += 1;
    }

    fn count_failures(&mut self, report: &Report) {
        self.violations += report.result.verdict.violation_counts.iter().sum::<u64>();
        self.missed += u64::from(!report.all_met());
    }

    /// Returns whether every run has figures and met the expectations of the script.
    pub fn all_met(&self) -> bool {
        self.missed == 0 && self.void == 0
    }

    fn cells(&self) -> [String; 10] {
        let runs = self.same_seed.service.len();
        let identical = match self.same_seed_reports.len() {
            0 => "-".into(),
            1 => format!("{runs} of {runs}"),
            distinct => format!("{distinct} kinds"),
        };
        [
            self.name.clone(),
            runs.to_string(),
            identical,
            range(&self.same_seed.service),
            relative_range(&self.same_seed.service),
            self.other_seeds.service.len().to_string(),
            range(&self.other_seeds.service),
            range(&self.other_seeds.worst_window),
            self.violations.to_string(),
            self.void.to_string(),
        ]
    }
}

/// Returns a Markdown table with a row for each script.
pub fn table(rows: &[Variance]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "scenario",
        "plays of its seed",
        "same bytes",
        "service",
        "apart",
        "seeds",
        "service over seeds",
        "worst 10 s over seeds",
        "rules broken",
        "void",
    ]);
    for row in rows {
        table.add_row(row.cells());
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table.to_string()
}

fn min_and_max(figures: &[f64]) -> Option<(f64, f64)> {
    Some((figures.iter().copied().reduce(f64::min)?, figures.iter().copied().reduce(f64::max)?))
}

fn range(figures: &[f64]) -> String {
    match min_and_max(figures) {
        Some((min, max)) => format!("{min:.3} to {max:.3}"),
        None => "-".into(),
    }
}

/// Returns the difference of the maximum and the minimum, in percent of the maximum.
fn relative_range(figures: &[f64]) -> String {
    match min_and_max(figures) {
        Some((min, max)) if max > 0.0 => format!("{:.2}%", (max - min) / max * 100.0),
        _ => "-".into(),
    }
}
