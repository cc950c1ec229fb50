//! What `cache-balancer aggregate` costs, and how long the lines are that it reads, by the size of the fleet.
//!
//! `cargo bench -p cache-balancer --bench aggregate`. Nodes, cache servers and requests grow in the same proportion; each log holds
//! a few seconds of one node. The largest size is meant for prediction: fit the others, then compare.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Nodes and cache servers, in proportion to the planned 5,900 before 1,100.
const SIZES: [(u32, u32); 4] = [(738, 138), (1_475, 275), (2_950, 550), (5_900, 1_100)];
/// One node's part of the planned peak: 3.4 million requests a second over 5,900 nodes.
const REQUESTS_A_SECOND: u32 = 576;
const SECONDS: u64 = 3;
const FIRST_SECOND: u64 = 1_800_000_000;
/// Clock ticks a second of /proc/PID/stat, which Linux fixes for programs.
const TICKS_A_SECOND: f64 = 100.0;
/// Places in /proc/PID/stat behind the command's name: processor time of children that have ended, in user and system mode.
const CHILDREN_TIMES: [usize; 2] = [13, 14];

/// One second of one node, in the words of the log.
fn line(random: &mut fastrand::Rng, node: u32, second: u64, servers: u32) -> String {
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..REQUESTS_A_SECOND {
        *ends.entry(format!("s-{:08x}", random.u32(0..servers))).or_default() += 1;
    }
    let ends: BTreeMap<_, _> =
        ends.into_iter().map(|(server, ok)| (server, serde_json::json!({ "ok": ok }))).collect();
    let line = serde_json::json!({
        "second": second, "node": format!("n{node}"), "pool": "records", "served": REQUESTS_A_SECOND, "servers": ends,
    });
    format!("tally {line}")
}

/// Writes the logs of all nodes; their paths and the mean length of a line, in bytes.
fn write_logs(folder: &Path, nodes: u32, servers: u32) -> Result<(Vec<PathBuf>, f64), Box<dyn Error>> {
    let mut random = fastrand::Rng::with_seed(1);
    let mut paths = Vec::new();
    let mut bytes = 0;
    for node in 0..nodes {
        let mut text = String::new();
        for second in 0..SECONDS {
            writeln!(text, "{}", line(&mut random, node, FIRST_SECOND + second, servers))?;
        }
        bytes += text.len();
        let path = folder.join(format!("{node}.log"));
        fs::write(&path, text)?;
        paths.push(path);
    }
    Ok((paths, bytes as f64 / f64::from(nodes) / SECONDS as f64))
}

/// Processor time of this process's children that have ended, in seconds.
fn children_seconds() -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let mut ticks = 0.0;
    for place in CHILDREN_TIMES {
        ticks += fields.get(place).ok_or("a short /proc/self/stat")?.parse::<f64>()?;
    }
    Ok(ticks / TICKS_A_SECOND)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("| nodes | servers | bytes a line | bytes a second of the fleet | count: processor time for a second of the fleet |");
    println!("| --- | --- | --- | --- | --- |");
    for (nodes, servers) in SIZES {
        let folder =
            std::env::temp_dir().join(format!("cache-balancer-bench-count-{}-{nodes}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (paths, bytes) = write_logs(&folder, nodes, servers)?;
        let before = children_seconds()?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
        let status = command.arg("aggregate").args(&paths).stdout(Stdio::null()).status()?;
        let took = (children_seconds()? - before) / SECONDS as f64;
        fs::remove_dir_all(&folder)?;
        if !status.success() {
            return Err(format!("cache-balancer aggregate: {status}").into());
        }
        println!("| {nodes} | {servers} | {bytes:.0} | {:.0} | {took:.2} s |", bytes * f64::from(nodes));
    }
    Ok(())
}
