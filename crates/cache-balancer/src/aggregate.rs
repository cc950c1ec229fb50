//! `cache-balancer aggregate`: adds up the tallies of many nodes' logs, second by second, and sets what they did beside what any of
//! them had been told by then. An attempt at a server that some node knew to be gone, made by one that did not, shows
//! nowhere in one log.

use crate::tally::{Ends, Line, Told, WORD};
use clap::Args;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Longer lines are none of a node's.
const LONGEST_LINE: u64 = 1 << 20;
/// More seconds than a log of days has: a clock that is wrong must not fill the table.
const MOST_SECONDS: usize = 1 << 20;
/// Bad lines that are named; the rest is counted.
const NAMED: usize = 20;
/// A server that fails this part of what it is sent in a second is a bad one.
const BAD: f64 = 0.4;
/// Of fewer attempts nothing is said.
const SAMPLE: u64 = 4;
/// Some lines were bad, and skipped; the others are counted.
const SKIPPED: u8 = 1;
/// A log that cannot be read.
const UNUSABLE: u8 = 2;

#[derive(Debug, Args)]
pub struct Arguments {
    /// The nodes' logs
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// A server counts as cold for so many seconds after its start
    #[arg(long, default_value_t = 8)]
    warm_within: u64,
    /// Seconds a row
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    every: u64,
    /// Prints a line of JSON for each row, rather than a table
    #[arg(long)]
    json: bool,
}

/// What is wrong with a line of a log, which is skipped.
#[derive(Debug, Error)]
enum Bad {
    #[error("no tally: {0}")]
    Json(#[from] serde_json::Error),
    #[error("longer than {LONGEST_LINE} bytes")]
    Long,
    #[error("a second that lies more than {MOST_SECONDS} seconds from the others")]
    Second,
}

/// Attempts by the state of the server that they met, and the rest of what all nodes did in a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct Row {
    nodes: usize,
    served: u64,
    refused: u64,
    failed: u64,
    repeats: u64,
    trips: u64,
    lists: u64,
    lists_failed: u64,
    connect: u64,
    timeout: u64,
    full: u64,
    error: u64,
    well: u64,
    cold: u64,
    bad: u64,
    draining: u64,
    gone: u64,
}

/// The lines of all logs.
#[derive(Debug, Default)]
struct Lines {
    seconds: BTreeMap<u64, Vec<Line>>,
    bad: usize,
}

impl Lines {
    /// Takes a log in; bad lines are named by file and line, and skipped.
    fn read(&mut self, name: &Path, log: impl Read) -> std::io::Result<()> {
        let mut log = BufReader::new(log);
        let mut bytes = Vec::new();
        for number in 1_u64.. {
            bytes.clear();
            if log.by_ref().take(LONGEST_LINE).read_until(b'\n', &mut bytes)? == 0 {
                break;
            }
            let whole = bytes.last() == Some(&b'\n');
            let found = match bytes.len() as u64 == LONGEST_LINE && !whole {
                true => {
                    log.skip_until(b'\n')?;
                    Some(Err(Bad::Long))
                }
                // Whoever collected the log may have put words of its own before the node's.
                false => tally(&bytes).map(|line| line.and_then(|line| self.place(line))),
            };
            if let Some(Err(error)) = found {
                self.bad += 1;
                if self.bad <= NAMED {
                    eprintln!("{}:{number}: {error}; skipped", name.display());
                }
            }
        }
        Ok(())
    }

    fn place(&mut self, line: Line) -> Result<(), Bad> {
        let near = |other: &u64| line.second.abs_diff(*other) < MOST_SECONDS as u64;
        let ends = [self.seconds.keys().next(), self.seconds.keys().next_back()];
        if !ends.into_iter().flatten().all(near) {
            return Err(Bad::Second);
        }
        self.seconds.entry(line.second).or_default().push(line);
        Ok(())
    }

    /// What all nodes did, by spans of so many seconds.
    fn rows(&self, every: u64, warm_within: u64) -> BTreeMap<u64, Row> {
        let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
        let mut nodes: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        let mut told: BTreeMap<&str, Known> = BTreeMap::new();
        for (second, lines) in &self.seconds {
            let span = second / every * every;
            let row = rows.entry(span).or_default();
            let mut ends: BTreeMap<&str, Ends> = BTreeMap::new();
            for line in lines {
                nodes.entry(span).or_default().insert(&line.node);
                for (count, more) in [
                    (&mut row.served, line.served),
                    (&mut row.refused, line.refused),
                    (&mut row.failed, line.failed),
                    (&mut row.repeats, line.repeats),
                    (&mut row.trips, line.trips),
                    (&mut row.lists, line.lists),
                    (&mut row.lists_failed, line.lists_failed),
                ] {
                    *count += u64::from(more);
                }
                for (server, news) in &line.told {
                    told.entry(server).or_default().hear(*news);
                }
                for (server, more) in &line.servers {
                    let sum = ends.entry(server).or_default();
                    for (count, more) in [
                        (&mut sum.ok, more.ok),
                        (&mut sum.connect, more.connect),
                        (&mut sum.timeout, more.timeout),
                        (&mut sum.full, more.full),
                        (&mut sum.error, more.error),
                    ] {
                        *count = count.saturating_add(more);
                    }
                }
            }
            for (server, sum) in ends {
                row.connect += u64::from(sum.connect);
                row.timeout += u64::from(sum.timeout);
                row.full += u64::from(sum.full);
                row.error += u64::from(sum.error);
                let all = sum.all();
                let bad = all >= SAMPLE && (all - u64::from(sum.ok)) as f64 >= BAD * all as f64;
                let Known { life, ends } = told.get(server).copied().unwrap_or_default();
                *match ends {
                    Some(Told::Gone) => &mut row.gone,
                    Some(Told::Draining) => &mut row.draining,
                    _ if bad => &mut row.bad,
                    _ if second.saturating_sub(life) < warm_within => &mut row.cold,
                    _ => &mut row.well,
                } += all;
            }
        }
        for (span, names) in nodes {
            rows.entry(span).or_default().nodes = names.len();
        }
        rows
    }
}

/// What any node had been told of a server. News reach nodes at different times: late ones of a life bring nobody back, and
/// a later start is another life. A drain that is taken back within one life is not told apart from late news.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// When it started, in seconds of Unix time; 0 for long ago.
    life: u64,
    /// `Draining` or `Gone`, once this life is told to end.
    ends: Option<Told>,
}

impl Known {
    fn hear(&mut self, news: Told) {
        match (news, self.ends) {
            (Told::Ready(started), _) if started > self.life => *self = Self { life: started, ends: None },
            (Told::Ready(_), _) | (Told::Draining, Some(Told::Gone)) => {}
            (Told::Draining | Told::Gone, _) => self.ends = Some(news),
        }
    }
}

/// The tally of a line, if it has one.
fn tally(bytes: &[u8]) -> Option<Result<Line, Bad>> {
    let at = bytes.windows(WORD.len()).position(|word| word == WORD.as_bytes())?;
    // A word within another line's text is no tally.
    let rest = bytes[at + WORD.len()..].trim_ascii();
    rest.starts_with(b"{").then(|| serde_json::from_slice(rest).map_err(Bad::from))
}

/// Carries the call out; its exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let mut lines = Lines::default();
    for path in &arguments.logs {
        if let Err(error) = File::open(path).and_then(|log| lines.read(path, log)) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(UNUSABLE);
        }
    }
    let rows = lines.rows(arguments.every, arguments.warm_within);
    if arguments.json {
        for (second, row) in &rows {
            println!("{}", json!({"second": second, "row": row}));
        }
    } else {
        println!("{}", table(&rows));
    }
    if lines.bad > 0 {
        eprintln!("{} lines skipped", lines.bad);
        return ExitCode::from(SKIPPED);
    }
    ExitCode::SUCCESS
}

fn table(rows: &BTreeMap<u64, Row>) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header([
        "second",
        "nodes",
        "served",
        "refused",
        "failed",
        "repeats",
        "trips",
        "lists",
        "lists failed",
        "no connection",
        "time-out",
        "full",
        "error",
        "at well",
        "cold",
        "bad",
        "draining",
        "gone",
    ]);
    let start = rows.keys().next().copied().unwrap_or(0);
    for (second, row) in rows {
        let counts = [
            second - start,
            row.nodes as u64,
            row.served,
            row.refused,
            row.failed,
            row.repeats,
            row.trips,
            row.lists,
            row.lists_failed,
            row.connect,
            row.timeout,
            row.full,
            row.error,
            row.well,
            row.cold,
            row.bad,
            row.draining,
            row.gone,
        ];
        table.add_row(counts.map(|count| count.to_string()));
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn lines(logs: &[&str]) -> Lines {
        let mut lines = Lines::default();
        for (i, log) in logs.iter().enumerate() {
            lines.read(Path::new(&format!("{i}.log")), log.as_bytes()).expect("text");
        }
        lines
    }

    // Guards against a count that goes by what the sending node was told: it is the one that was told late.
    #[test]
    fn an_attempt_at_a_server_that_another_node_knew_to_be_gone_counts_as_one_at_a_gone_server() {
        let one = r#"tally {"second":10,"node":"a","pool":"p","served":2,"told":{"s":"gone"},"servers":{"t":{"ok":2}}}"#;
        let other = "starting\n\
            tally {\"second\":9,\"node\":\"b\",\"pool\":\"p\",\"servers\":{\"s\":{\"ok\":1}}}\n\
            2026 b cache-balancer: tally {\"second\":11,\"node\":\"b\",\"pool\":\"p\",\"repeats\":3,\"servers\":{\"s\":{\"connect\":3}}}\n";
        let found = lines(&[one, other]);
        assert_eq!(found.bad, 0);
        let rows = found.rows(1, 8);
        assert_eq!(rows[&9], Row { nodes: 1, well: 1, ..Row::default() });
        assert_eq!(rows[&10], Row { nodes: 1, served: 2, well: 2, ..Row::default() });
        assert_eq!(rows[&11], Row { nodes: 1, repeats: 3, connect: 3, gone: 3, ..Row::default() });
        let all = found.rows(10, 8);
        assert_eq!(all[&10].nodes, 2);
        assert_eq!(all.keys().copied().collect::<Vec<_>>(), [0, 10]);
    }

    #[test]
    fn late_news_of_a_server_do_not_bring_it_back_and_a_start_makes_it_cold() {
        let log = r#"
            tally {"second":20,"node":"a","pool":"p","told":{"s":"draining","new":{"ready":19}},"servers":{"s":{"ok":1},"new":{"ok":2}}}
            tally {"second":21,"node":"b","pool":"p","told":{"s":{"ready":0}},"servers":{"s":{"ok":1},"new":{"ok":4}}}
            tally {"second":40,"node":"b","pool":"p","servers":{"new":{"ok":5}}}
        "#;
        let rows = lines(&[log]).rows(1, 8);
        assert_eq!((rows[&20].draining, rows[&20].cold), (1, 2));
        assert_eq!((rows[&21].draining, rows[&21].cold), (1, 4));
        assert_eq!((rows[&40].cold, rows[&40].well), (0, 5));
    }

    // Guards against a box that restarts under its id and counts as gone for the rest of the log.
    #[test]
    fn a_server_that_starts_again_under_its_id_is_back_and_cold_whatever_comes_late() {
        let log = r#"
            tally {"second":20,"node":"a","pool":"p","told":{"s":"gone"},"servers":{"s":{"ok":1}}}
            tally {"second":22,"node":"a","pool":"p","told":{"s":{"ready":19}},"servers":{"s":{"ok":2}}}
            tally {"second":23,"node":"b","pool":"p","told":{"s":{"ready":0}},"servers":{"s":{"ok":3}}}
            tally {"second":30,"node":"b","pool":"p","servers":{"s":{"ok":4}}}
            tally {"second":31,"node":"b","pool":"p","told":{"s":"gone"},"servers":{"s":{"connect":1}}}
            tally {"second":32,"node":"a","pool":"p","told":{"s":"draining"},"servers":{"s":{"connect":2}}}
        "#;
        let rows = lines(&[log]).rows(1, 8);
        assert_eq!([20, 31, 32].map(|second| rows[&second].gone), [1, 1, 2]);
        assert_eq!([22, 23, 30].map(|second| rows[&second].cold), [2, 3, 0]);
        assert_eq!(rows[&30].well, 4);
    }

    #[test]
    fn a_server_that_fails_much_of_all_that_it_gets_is_a_bad_one_though_each_node_met_it_once() {
        let log: String = (0..6)
            .map(|node| {
                let end = if node % 2 == 0 { "ok" } else { "error" };
                format!("tally {{\"second\":5,\"node\":\"{node}\",\"pool\":\"p\",\"servers\":{{\"s\":{{\"{end}\":1}}}}}}\n")
            })
            .collect();
        let row = lines(&[&log]).rows(1, 8)[&5];
        assert_eq!(row, Row { nodes: 6, error: 3, bad: 6, ..Row::default() });
    }

    #[test]
    fn a_bad_line_is_skipped_and_the_others_count() {
        let good = r#"tally {"second":5,"node":"a","pool":"p","served":1}"#;
        let long = format!("tally {{\"node\":\"{}\"}}", "x".repeat(LONGEST_LINE as usize));
        let far = good.replace(":5,", ":99999999999,");
        let cut = &good[..good.len() - 1];
        let log = [good, cut, "tally {}", &long, "tally of nothing", &far, good].join("\n");
        let found = lines(&[&log]);
        assert_eq!(found.bad, 4);
        assert_eq!(found.rows(1, 8)[&5].served, 2);
    }

    proptest! {
        #[test]
        fn any_bytes_are_counted_or_skipped(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut lines = Lines::default();
            let log = [b"tally {\"second\":5,", &bytes[..], b"}\ntally {\"second\":5,\"node\":\"a\",\"pool\":\"p\",\"served\":1}\n"].concat();
            prop_assert!(lines.read(Path::new("x"), &log[..]).is_ok());
            prop_assert!(lines.rows(1, 8)[&5].served >= 1);
        }
    }
}
