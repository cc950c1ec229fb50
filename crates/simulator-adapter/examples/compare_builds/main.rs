//! Compares the decisions of two builds: the same events must give byte-identical actions.
//!
//! ```text
//! cargo run --release -p simulator-adapter --example compare_builds -- actions OLD-ADAPTER NEW-ADAPTER
//! cargo run --release -p simulator-adapter --example compare_builds -- scenarios OLD-DAEMON NEW-DAEMON
//! ```
//!
//! `actions` drives both adapters with generated events over the simulator's line protocol, for each site file in
//! `deploy/sites`, 1 to 300 nodes and several seeds. `scenarios` runs each script in `scenarios/` in virtual time, which
//! also covers restarts, upgrades, reloads and discovery polls. Both compare only output that a rename in the code does
//! not change: lines of the protocol and JSON reports.

mod adapter;
mod scenarios;
mod site;
mod workload;

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

/// Numbers of nodes to run each site with.
const NODE_COUNTS: [u32; 5] = [1, 4, 20, 100, 300];
/// Number of seeds for each site and number of nodes.
const SEEDS: u64 = 6;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let compared = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["actions", old, new] => compare_actions(Path::new(old), Path::new(new)),
        ["scenarios", old, new] => scenarios::compare(Path::new(old), Path::new(new)),
        _ => Err("expected: actions OLD-ADAPTER NEW-ADAPTER, or scenarios OLD-DAEMON NEW-DAEMON".into()),
    };
    match compared {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("compare_builds: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether both adapters reply with the same actions to all generated workloads.
fn compare_actions(old: &Path, new: &Path) -> Result<bool, Box<dyn Error>> {
    let (mut events, mut actions) = (0, 0);
    for site in site::all()? {
        for nodes in NODE_COUNTS {
            for seed in 0..SEEDS {
                let old_transcript = workload::record(old, &site, nodes, seed)?;
                let new_transcript = workload::record(new, &site, nodes, seed)?;
                if let Some(difference) = first_difference(&old_transcript.lines, &new_transcript.lines) {
                    println!("{} with {nodes} nodes, seed {seed}: {difference}", site.name);
                    return Ok(false);
                }
                events += old_transcript.events;
                actions += old_transcript.actions;
            }
        }
    }
    println!("same actions: {events} events, {actions} actions");
    Ok(true)
}

/// Describes the first difference between two transcripts, with the lines before it.
fn first_difference(old: &[String], new: &[String]) -> Option<String> {
    const CONTEXT_LINES: usize = 5;
    let index = (0..old.len().max(new.len())).find(|&index| old.get(index) != new.get(index))?;
    let context = old[index.saturating_sub(CONTEXT_LINES)..index].join("\n  ");
    let line = |lines: &[String]| lines.get(index).map_or("(end of transcript)".to_owned(), String::clone);
    Some(format!("line {index}\n  {context}\nold: {}\nnew: {}", line(old), line(new)))
}
