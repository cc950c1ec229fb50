//! Measures the processor time of `cache-balancer aggregate` and the length of tally lines by fleet size.
//!
//! Run it with `cargo bench -p cache-balancer --bench aggregate`. Nodes, cache servers and requests grow in
//! proportion; each log holds a few seconds of one node. The largest size is meant to be predicted: fit the
//! others, then compare.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Numbers of nodes and cache servers, in proportion to the planned fleet of 5,900 nodes and 1,100 servers.
const SIZES: [(u32, u32); 4] = [(738, 138), (1_475, 275), (2_950, 550), (5_900, 1_100)];
/// Requests per second of one node at the planned peak: 3.4 million requests per second over 5,900 nodes.
const REQUESTS_PER_SECOND: u32 = 576;
const SECONDS: u64 = 3;
const FIRST_SECOND: u64 = 1_800_000_000;
/// Clock ticks per second in /proc/PID/stat. Linux fixes this value for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of the fields after the command name in /proc/PID/stat that hold the user and system time of
/// reaped children.
const CHILDREN_TIME_FIELDS: [usize; 2] = [13, 14];

/// Returns the tally line of one node for one second.
fn tally_line(random: &mut fastrand::Rng, node: u32, second: u64, servers: u32) -> String {
    let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..REQUESTS_PER_SECOND {
        *attempts.entry(format!("s-{:08x}", random.u32(0..servers))).or_default() += 1;
    }
    let servers: BTreeMap<_, _> =
        attempts.into_iter().map(|(server, ok)| (server, serde_json::json!({ "ok": ok }))).collect();
    let line = serde_json::json!({
        "second": second, "node": format!("n{node}"), "pool": "records", "served": REQUESTS_PER_SECOND, "servers": servers,
    });
    format!("tally {line}")
}

/// Writes the logs of all nodes. Returns their paths and the mean length of a line in bytes.
fn write_logs(directory: &Path, nodes: u32, servers: u32) -> Result<(Vec<PathBuf>, f64), Box<dyn Error>> {
    let mut random = fastrand::Rng::with_seed(1);
    let mut paths = Vec::new();
    let mut bytes = 0;
    for node in 0..nodes {
        let mut text = String::new();
        for second in 0..SECONDS {
            writeln!(text, "{}", tally_line(&mut random, node, FIRST_SECOND + second, servers))?;
        }
        bytes += text.len();
        let path = directory.join(format!("{node}.log"));
        fs::write(&path, text)?;
        paths.push(path);
    }
    Ok((paths, bytes as f64 / f64::from(nodes) / SECONDS as f64))
}

/// Returns the processor time of this process's reaped children, in seconds.
fn children_seconds() -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let mut ticks = 0.0;
    for field in CHILDREN_TIME_FIELDS {
        ticks += fields.get(field).ok_or("/proc/self/stat has too few fields")?.parse::<f64>()?;
    }
    Ok(ticks / TICKS_PER_SECOND)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("| nodes | servers | bytes per line | bytes per second of the fleet | aggregate: processor time per second of the fleet |");
    println!("| --- | --- | --- | --- | --- |");
    for (nodes, servers) in SIZES {
        let directory = std::env::temp_dir()
            .join(format!("cache-balancer-bench-aggregate-{}-{nodes}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let (paths, bytes) = write_logs(&directory, nodes, servers)?;
        let before = children_seconds()?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
        let status = command.arg("aggregate").args(&paths).stdout(Stdio::null()).status()?;
        let processor_s = (children_seconds()? - before) / SECONDS as f64;
        fs::remove_dir_all(&directory)?;
        if !status.success() {
            return Err(format!("cache-balancer aggregate: {status}").into());
        }
        println!(
            "| {nodes} | {servers} | {bytes:.0} | {:.0} | {processor_s:.2} s |",
            bytes * f64::from(nodes)
        );
    }
    Ok(())
}
