//! Runs the scenarios that ship with both daemons, in virtual time, and compares their reports.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Numbers of nodes besides the script's own.
const NODE_COUNTS: [Option<u32>; 3] = [None, Some(1), Some(100)];

/// Whether both daemons report the same of every scenario.
pub fn compare(old: &Path, new: &Path) -> Result<bool, Box<dyn Error>> {
    let mut compared = 0;
    for script in scripts()? {
        for nodes in NODE_COUNTS {
            if report(old, &script, nodes)? != report(new, &script, nodes)? {
                println!("{} with {nodes:?} nodes: the reports differ", script.display());
                return Ok(false);
            }
            compared += 1;
        }
    }
    println!("same reports: {compared} runs in virtual time");
    Ok(true)
}

fn scripts() -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut scripts = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            scripts.push(path);
        }
    }
    scripts.sort();
    Ok(scripts)
}

/// The JSON report of a run. Its exit code tells whether expectations held, which the report tells as well.
fn report(daemon: &Path, script: &Path, nodes: Option<u32>) -> Result<Vec<u8>, Box<dyn Error>> {
    // Builds from before version 0.3 know this name only.
    let mut command = Command::new(daemon);
    command.arg("rehearse").arg(script).args(["--json", "--player", "virtual"]);
    if let Some(nodes) = nodes {
        command.args(["--nodes", &nodes.to_string()]);
    }
    let output = command.output().map_err(|error| format!("{}: {error}", daemon.display()))?;
    if output.stdout.is_empty() {
        return Err(format!("{}: {}", script.display(), String::from_utf8_lossy(&output.stderr)).into());
    }
    Ok(output.stdout)
}
