//! Simulates scenes of the control plane in virtual time and prints a table of the outcomes.
//!
//!     cargo run --release -p testbed --example control_plane -- off 200 0 [SCENE...]
//!
//! The first argument is `off` (nodes know only one replica) or `on` (nodes know all replicas). The second is
//! the number of lines that a replica processes per second, the third the cost in lines of a call that
//! continues a watch. If no scene is named, all scenes run.

use std::process::ExitCode;
use testbed::scale::messages::ReplicaCapacity;
use testbed::scale::virtual_time::scenes::{named, names, Size};
use testbed::scale::virtual_time::{run as run_scene, table};

const USAGE: &str = "expected: off|on LINES-PER-SECOND LINES-PER-CONTINUED-CALL [SCENE...]";
const NODES: u32 = 5_900;
const SERVERS: u32 = 1_100;
const REPLICAS: u32 = 16;
const CALL_LINES: f64 = 10.0;
const QUEUE_LIMIT_MS: u64 = 3_000;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let mechanism = match arguments.next().as_deref() {
        Some("off") => false,
        Some("on") => true,
        _ => return Err(USAGE.into()),
    };
    let mut number = || arguments.next().and_then(|text| text.parse::<f64>().ok()).ok_or(USAGE);
    let (lines_per_second, continued_call_lines) = (number()?, number()?);
    let capacity = ReplicaCapacity {
        lines_per_second,
        call_lines: CALL_LINES,
        continued_call_lines,
        queue_limit_ms: QUEUE_LIMIT_MS,
    };
    let size = Size { nodes: NODES, servers: SERVERS, replicas: REPLICAS, mechanism, capacity, seed: 1 };
    let named_scenes: Vec<String> = arguments.collect();
    let all_scenes = names().map(str::to_owned).collect();
    let wanted = if named_scenes.is_empty() { all_scenes } else { named_scenes };
    let mut rows = Vec::new();
    for name in wanted {
        let scene = named(&name, &size).map_err(|error| error.to_string())?;
        eprintln!("{name}");
        let outcome = run_scene(&scene);
        rows.push((name, outcome));
    }
    println!("{}", table(rows.iter().map(|(name, outcome)| (name.as_str(), outcome))));
    Ok(())
}
