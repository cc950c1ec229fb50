//! What a play came to, for people and for programs.

use crate::counts::Counts;
use crate::ledger::Second;
use crate::script::{Script, Trouble};
use crate::simulate::Played;
use checked_toml::time_text;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{CellAlignment, Table};
use serde::Serialize;
use std::fmt::Write;

/// A play and what was expected of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The script's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// The play was broken off: all figures are of the time until then.
    pub partial: bool,
    /// What went wrong, in words.
    pub incidents: Vec<Mark>,
    /// What was expected, and whether it came.
    pub checks: Vec<Check>,
    /// The play.
    #[serde(flatten)]
    pub played: Played,
}

/// An incident on the line of time, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Mark {
    /// From here.
    pub from_s: f64,
    /// To here.
    pub to_s: f64,
    /// What.
    pub what: String,
}

/// Something that was expected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// What.
    pub what: String,
    /// At least this; for rules exactly, for what is counted at most.
    pub wanted: f64,
    /// This came.
    pub got: f64,
    /// Whether that is enough.
    pub held: bool,
}

impl Report {
    /// Of a play of this script.
    pub fn new(script: &Script, played: Played) -> Self {
        let service = &played.verdict.service;
        let least = [
            ("service", script.expect.service, service.whole),
            ("worst 10 s", script.expect.worst_window, service.worst_window.0),
            ("worst class", script.expect.worst_class, service.worst_class),
        ];
        let least = least.into_iter().filter_map(|(what, wanted, got)| {
            wanted.map(|wanted| Check { what: what.into(), wanted, got, held: got >= wanted })
        });
        let counts: Counts = played.counts.iter().copied().sum();
        let most = [
            ("attempts at gone or cut-off servers", script.expect.attempts_lost, counts.lost()),
            ("attempts at bad servers", script.expect.attempts_bad, counts.bad),
            ("connections opened", script.expect.connects, counts.connects),
            ("calls to discovery that failed", script.expect.list_calls_failed, counts.list_calls_failed),
        ];
        // On sockets nobody counts them.
        let counted = !played.counts.is_empty();
        let most = most.into_iter().filter_map(|(what, wanted, got)| {
            let wanted = wanted.filter(|_| counted)?;
            let what = format!("{what}, at most");
            Some(Check { what, wanted: wanted as f64, got: got as f64, held: got <= wanted })
        });
        let broken: u64 = played.verdict.broken.iter().sum();
        let rules = Check { what: "rules broken".into(), wanted: 0.0, got: broken as f64, held: broken == 0 };
        let incidents = script.incidents.iter().map(|incident| Mark {
            from_s: incident.at.as_secs_f64(),
            to_s: (incident.at + incident.over).as_secs_f64(),
            what: format!(
                "{}{} from {} for {}",
                words(&incident.what),
                incident.zone.map_or_else(String::new, |zone| format!(" in {}", script.zones[zone])),
                time_text(incident.at),
                time_text(incident.over)
            ),
        });
        Self {
            name: script.name.clone(),
            seed: script.seed,
            partial: false,
            incidents: incidents.collect(),
            checks: std::iter::once(rules).chain(least).chain(most).collect(),
            played,
        }
    }

    /// Whether all came that was expected.
    pub fn held(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    /// One line of JSON: equal plays give equal bytes.
    pub fn json(&self) -> String {
        // Only maps with keys that are no text can fail, and there are none.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// A table and a picture for the terminal.
    pub fn text(&self) -> String {
        let verdict = &self.played.verdict;
        let service = &verdict.service;
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        let mut row = |what: &str, value: String| {
            table.add_row([what.to_owned(), value]);
        };
        row("service", format!("{:.4}", service.whole));
        row("worst 10 s", format!("{:.4} from {} s", service.worst_window.0, service.worst_window.1));
        service.classes.iter().for_each(|(class, part)| row(&format!("  {class}"), format!("{part:.4}")));
        let [served, refused, failed, _] = verdict.answers;
        row("asked, tries taken", format!("{}, {}", verdict.asked, verdict.taken));
        row("served, refused, failed", format!("{served}, {refused}, {failed}"));
        row("attempts a try", format!("{:.2}", verdict.attempts as f64 / verdict.taken.max(1) as f64));
        row("held by its cache server", format!("{:.1}%", self.played.hit_rate * 100.0));
        let (fetched, turned_away) = self.played.fetches;
        row("fetches, turned away", format!("{fetched}, {turned_away}"));
        row("most waiting at the origin", self.played.origin_queue.to_string());
        if !self.played.counts.is_empty() {
            let sum: Counts = self.played.counts.iter().copied().sum();
            let met = [sum.well, sum.cold, sum.bad, sum.draining, sum.gone, sum.silent];
            row(
                "met well, cold, bad, draining, gone, cut off",
                met.map(|count| count.to_string()).join(", "),
            );
            row("connections opened, failed", format!("{}, {}", sum.connects, sum.connects_failed));
            let lists = [sum.list_calls, sum.list_calls_failed, sum.list_lines];
            row("calls for lists, failed, lines", lists.map(|count| count.to_string()).join(", "));
        }
        row("rules broken, 1 to 4", verdict.broken.map(|count| count.to_string()).join(", "));
        if let Some(column) = table.column_mut(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        let partial =
            if self.partial { "PARTIAL: broken off; all figures are of the time until then\n" } else { "" };
        let mut text = format!("{} (seed {})\n{partial}{table}\n{}", self.name, self.seed, self.picture());
        for breach in &verdict.breaches {
            let _ = writeln!(text, "rule {} at {:.3} s: {}", breach.rule, breach.at_s, breach.what);
        }
        for check in &self.checks {
            let (word, bound) = if check.held { ("held", "") } else { ("MISSED", " instead") };
            let _ =
                writeln!(text, "{word}: {} {} expected, {:.4}{bound}", check.what, check.wanted, check.got);
        }
        text
    }

    /// Service by second, refusals by second, and the incidents under them.
    fn picture(&self) -> String {
        let seconds = &self.played.verdict.seconds;
        let service = |second: &Second| if second.worth > 0.0 { second.got / second.worth } else { 1.0 };
        let refused = |second: &Second| f64::from(second.refused) / f64::from(second.taken.max(1));
        let mut text = String::new();
        let _ = writeln!(text, "  service  {}", bars(seconds.iter().map(service)));
        let _ = writeln!(text, "  refused  {}", bars(seconds.iter().map(refused)));
        for mark in &self.incidents {
            let (from, to) =
                (mark.from_s.floor() as usize, mark.to_s.ceil().max(mark.from_s.floor() + 1.0) as usize);
            let _ = writeln!(text, "           {}{} {}", " ".repeat(from), "─".repeat(to - from), mark.what);
        }
        let _ = writeln!(
            text,
            "           {}",
            (0..seconds.len()).step_by(10).map(|s| format!("{s:<10}")).collect::<String>()
        );
        text
    }
}

/// A bar for each part from 0 to 1.
fn bars(parts: impl Iterator<Item = f64>) -> String {
    const BARS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    parts.map(|part| BARS[((part * 8.0).round() as usize).min(8)]).collect()
}

/// An incident in words.
pub fn words(trouble: &Trouble) -> String {
    let part = |share: f64| format!("{:.0}%", share * 100.0);
    match trouble {
        Trouble::Shrink { share, .. } => format!("{} of the fleet drained for good", part(*share)),
        Trouble::Deploy { share, batch, .. } => {
            format!("{} replaced, {} at a time", part(*share), part(*batch))
        }
        Trouble::RestartNodes { share, killed: true, .. } => format!("{} of the nodes killed", part(*share)),
        Trouble::Upgrade { share, .. } => format!("{} of the nodes upgraded", part(*share)),
        Trouble::Reload { share, times } => {
            format!("{} of the nodes reload, {times} times each", part(*share))
        }
        Trouble::RestartNodes { share, .. } => format!("{} of the nodes restarted", part(*share)),
        Trouble::Crash { share } => format!("{} of the boxes dead", part(*share)),
        Trouble::Vanish { share } => format!("{} of the boxes cut off", part(*share)),
        Trouble::Pause { share } => format!("{} of the boxes standing still", part(*share)),
        Trouble::Errors { share, rate } => {
            format!("errors for {} at {} of the boxes", part(*rate), part(*share))
        }
        Trouble::Delay { share, extra } => {
            format!("{} later to and from {} of the boxes", time_text(*extra), part(*share))
        }
        Trouble::Loss { share, rate } => {
            format!("{} of the packets lost at {} of the boxes", part(*rate), part(*share))
        }
        Trouble::Resets { share, rate } => {
            format!("{} of the answers broken off at {} of the boxes", part(*rate), part(*share))
        }
        Trouble::HalfOpen { share } => format!("connections to {} of the boxes forgotten", part(*share)),
        Trouble::HotKeys { keys, share } => format!("{} of all requests for {keys} keys", part(*share)),
        Trouble::Surge { factor } => format!("traffic times {factor}"),
        Trouble::SlowOrigin { factor } => format!("origin slower by {factor}"),
        Trouble::DiscoveryAway => "discovery away".into(),
        Trouble::DiscoveryBreaks { rate } => format!("{} of discovery's answers broken", part(*rate)),
    }
}
