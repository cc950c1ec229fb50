//! Plays of one script side by side: what of a figure is the script's, and what is chance or the machine's.

use crate::report::Report;
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use std::collections::BTreeSet;

/// Plays of one script.
#[derive(Clone, Debug, PartialEq)]
pub struct Spread {
    name: String,
    /// Plays of the script's own seed.
    again: Figures,
    /// What these were, byte for byte.
    texts: BTreeSet<String>,
    /// Plays of several seeds, one of each.
    seeds: Figures,
    broken: u64,
    missed: u64,
    void: u64,
}

/// Figures of several plays, each from the least to the most.
#[derive(Clone, Debug, Default, PartialEq)]
struct Figures {
    service: Vec<f64>,
    worst_window: Vec<f64>,
}

impl Figures {
    fn add(&mut self, report: &Report) {
        let service = &report.played.verdict.service;
        self.service.push(service.whole);
        self.worst_window.push(service.worst_window.0);
    }
}

impl Spread {
    /// None yet.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            again: Figures::default(),
            texts: BTreeSet::new(),
            seeds: Figures::default(),
            broken: 0,
            missed: 0,
            void: 0,
        }
    }

    /// One more play of the script's own seed.
    pub fn again(&mut self, report: &Report) {
        self.again.add(report);
        self.texts.insert(report.json());
        self.count(report);
    }

    /// A play of another seed.
    pub fn seed(&mut self, report: &Report) {
        self.seeds.add(report);
        self.count(report);
    }

    /// A play that had no figure.
    pub fn void(&mut self) {
        self.void += 1;
    }

    fn count(&mut self, report: &Report) {
        self.broken += report.played.verdict.broken.iter().sum::<u64>();
        self.missed += u64::from(!report.held());
    }

    /// Whether every play had a figure and came to what its script expects.
    pub fn held(&self) -> bool {
        self.missed == 0 && self.void == 0
    }

    fn cells(&self) -> [String; 10] {
        let plays = self.again.service.len();
        let same = match self.texts.len() {
            0 => "-".into(),
            1 => format!("{plays} of {plays}"),
            other => format!("{other} kinds"),
        };
        [
            self.name.clone(),
            plays.to_string(),
            same,
            span(&self.again.service),
            apart(&self.again.service),
            self.seeds.service.len().to_string(),
            span(&self.seeds.service),
            span(&self.seeds.worst_window),
            self.broken.to_string(),
            self.void.to_string(),
        ]
    }
}

/// The table, a row for each script, as Markdown.
pub fn table(rows: &[Spread]) -> String {
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

fn ends(all: &[f64]) -> Option<(f64, f64)> {
    Some((all.iter().copied().reduce(f64::min)?, all.iter().copied().reduce(f64::max)?))
}

fn span(all: &[f64]) -> String {
    match ends(all) {
        Some((least, most)) => format!("{least:.3} to {most:.3}"),
        None => "-".into(),
    }
}

/// How far the ends lie from each other, as a part of the greater.
fn apart(all: &[f64]) -> String {
    match ends(all) {
        Some((least, most)) if most > 0.0 => format!("{:.2}%", (most - least) / most * 100.0),
        _ => "-".into(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::simulate::play;
    use crate::Script;
    use std::time::Duration;

    fn report(seed: u64) -> Report {
        let script =
            Script { name: "short".into(), seed, length: Duration::from_secs(2), ..Script::default() };
        Report::new(&script, play(&script))
    }

    fn row(spread: Spread) -> Vec<String> {
        let text = table(&[spread]);
        let row = text.lines().last().unwrap_or_default();
        row.split('|').map(|cell| cell.trim().to_owned()).filter(|cell| !cell.is_empty()).collect()
    }

    #[test]
    fn plays_of_one_seed_are_counted_by_their_bytes_and_those_of_others_are_not() {
        let mut spread = Spread::new("short");
        let (one, two) = (report(1), report(2));
        assert_ne!(one.json(), two.json());
        spread.again(&one);
        spread.again(&one);
        spread.seed(&one);
        spread.seed(&two);
        let cells = row(spread.clone());
        assert_eq!(cells[..3], ["short", "2", "2 of 2"]);
        assert_eq!(cells[4..6], ["0.00%", "2"]);
        spread.again(&two);
        assert_eq!(row(spread)[..3], ["short", "3", "2 kinds"]);
    }

    #[test]
    fn figures_go_from_the_least_to_the_most() {
        let all = [0.8, 0.792, 0.796];
        assert_eq!((span(&all).as_str(), apart(&all).as_str()), ("0.792 to 0.800", "1.00%"));
        assert_eq!((span(&[]).as_str(), apart(&[]).as_str()), ("-", "-"));
    }

    #[test]
    fn a_play_that_missed_or_had_no_figure_keeps_the_whole_from_holding() {
        let mut spread = Spread::new("short");
        spread.seed(&report(1));
        assert!(spread.held());
        let mut void = spread.clone();
        void.void();
        assert!(!void.held());
        let mut missed = report(1);
        missed.checks[0].held = false;
        spread.seed(&missed);
        assert!(!spread.held());
    }
}
