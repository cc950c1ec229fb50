//! Compares the decisions of two builds: the same events must give the same actions, byte for byte.
//!
//! ```text
//! cargo run --release -p simulator-adapter --example compare_builds -- actions OLD-ADAPTER NEW-ADAPTER
//! cargo run --release -p simulator-adapter --example compare_builds -- scenarios OLD-DAEMON NEW-DAEMON
//! ```
//!
//! `actions` drives both adapters with generated events over the simulator's line protocol, for each site file in
//! `deploy/sites`, 1 to 300 nodes and several seeds. `scenarios` runs each script in `scenarios/` in virtual time, which
//! also covers restarts, upgrades, reloads and polls of discovery. What is compared are lines of the protocol and of the
//! JSON reports, so that a rename in the code doesn't change them.

mod adapter;
mod scenarios;
mod site;
mod workload;

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

/// Sizes of the fleet that each site is played with.
const NODE_COUNTS: [u32; 5] = [1, 4, 20, 100, 300];
/// Seeds for each site and size.
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

/// Whether both adapters answer every generated workload alike.
fn compare_actions(old: &Path, new: &Path) -> Result<bool, Box<dyn Error>> {
    let (mut events, mut actions) = (0, 0);
    for site in site::all()? {
        for nodes in NODE_COUNTS {
            for seed in 0..SEEDS {
                let recorded = workload::record(old, &site, nodes, seed)?;
                let repeated = workload::record(new, &site, nodes, seed)?;
                if let Some(difference) = first_difference(&recorded.lines, &repeated.lines) {
                    println!("{} with {nodes} nodes, seed {seed}: {difference}", site.name);
                    return Ok(false);
                }
                events += recorded.events;
                actions += recorded.actions;
            }
        }
    }
    println!("same actions: {events} events, {actions} actions");
    Ok(true)
}

/// Where two transcripts differ first, with the lines before.
fn first_difference(old: &[String], new: &[String]) -> Option<String> {
    const LINES_BEFORE: usize = 5;
    let place = (0..old.len().max(new.len())).find(|&line| old.get(line) != new.get(line))?;
    let before = old[place.saturating_sub(LINES_BEFORE)..place].join("\n  ");
    let shown = |lines: &[String]| lines.get(place).map_or("(nothing)".to_owned(), String::clone);
    Some(format!("line {place}\n  {before}\nold: {}\nnew: {}", shown(old), shown(new)))
}
