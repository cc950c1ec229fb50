//! `cache-balancer scenario spread`: runs scenarios several times and shows how much their results vary.

use super::sockets::{self, SocketRunError};
use super::{load_script, report_unusable, SpreadArguments, VOID};
use crate::cli::{exit_code, Player};
use std::process::ExitCode;
use testbed::report::Report;
use testbed::variance::{table, Variance};
use testbed::{run_result::RunResult, virtual_time};
use testbed::{scenarios, Script};

/// Runs each script several times, prints a table and returns the exit code.
pub(super) fn run(arguments: &SpreadArguments) -> ExitCode {
    let scripts = match load_scripts(arguments) {
        Ok(scripts) => scripts,
        Err(code) => return code,
    };
    let mut rows = Vec::new();
    for script in scripts {
        eprintln!("{}", script.name);
        match measure_variance(&script, arguments) {
            Ok(row) => rows.push(row),
            Err(code) => return code,
        }
    }
    println!("{}", table(&rows));
    exit_code(rows.iter().all(Variance::all_met))
}

/// Loads all scripts, so that each unusable one is reported before any is run.
fn load_scripts(arguments: &SpreadArguments) -> Result<Vec<Script>, ExitCode> {
    let all = || scenarios::ALL.iter().map(|scenario| scenario.name.to_owned()).collect();
    let names = if arguments.scripts.is_empty() { all() } else { arguments.scripts.clone() };
    let results: Vec<_> =
        names.iter().map(|name| load_script(name).map_err(|error| report_unusable(&error))).collect();
    results.into_iter().collect()
}

/// Runs a script with its own seed, then with other seeds, and returns its row of the table.
fn measure_variance(script: &Script, arguments: &SpreadArguments) -> Result<Variance, ExitCode> {
    let mut row = Variance::new(&script.name);
    let own_seed = (0..arguments.plays).map(|_| (script.seed, true));
    let other_seeds = (0..u64::from(arguments.seeds)).map(|offset| (script.seed.wrapping_add(offset), false));
    for (seed, repeated) in own_seed.chain(other_seeds) {
        let nodes = arguments.nodes.unwrap_or(script.nodes);
        let script = Script { seed, nodes, ..script.clone() };
        let Some(result) = run_once(&script, arguments.player)? else {
            row.add_void();
            continue;
        };
        let report = Report::new(&script, result);
        if repeated {
            row.add_same_seed(&report);
        } else {
            row.add_other_seed(&report);
        }
    }
    Ok(row)
}

/// Runs a script once. Returns `None` if the machine was too busy, and an exit code if all runs have to end.
fn run_once(script: &Script, player: Player) -> Result<Option<RunResult>, ExitCode> {
    if player == Player::Virtual {
        return Ok(Some(virtual_time::run(script)));
    }
    match sockets::run(script, false) {
        // The operator interrupted the run.
        Ok(run) if run.partial => Err(ExitCode::from(VOID)),
        Ok(run) => Ok(Some(run.result)),
        Err(SocketRunError::Void(void)) => {
            eprintln!("{void}");
            Ok(None)
        }
        Err(error) => Err(report_unusable(&error)),
    }
}
