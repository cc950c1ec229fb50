//! Runs the scenario scripts of this repository with both daemons, in virtual time, and compares the reports.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Numbers of nodes to run each script with. `None` keeps the number in the script.
const NODE_COUNTS: [Option<u32>; 3] = [None, Some(1), Some(100)];

/// Returns whether both daemons write the same report for each scenario.
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

/// Returns the paths of the scenario scripts, sorted.
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

/// Runs a script and returns its JSON report. The exit code is ignored: it says whether the expectations held, and so
/// does the report.
fn report(daemon: &Path, script: &Path, nodes: Option<u32>) -> Result<Vec<u8>, Box<dyn Error>> {
    // `rehearse` is the former name of `scenario`, and the only one that builds before version 0.3 know.
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
