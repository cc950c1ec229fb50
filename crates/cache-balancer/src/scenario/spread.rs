//! Runs scenarios several times and shows how far their figures lie apart.

use super::sockets::{self, SocketRunError};
use super::{script, unusable, SpreadArguments, VOID};
use crate::cli::{exit_code, Player};
use std::process::ExitCode;
use testbed::report::Report;
use testbed::variance::{table, Variance};
use testbed::{run_result::RunResult, virtual_time};
use testbed::{scenarios, Script};

/// Runs each script several times, prints a table and returns the exit code.
pub(super) fn run(arguments: &SpreadArguments) -> ExitCode {
    let scripts = match scripts(arguments) {
        Ok(scripts) => scripts,
        Err(code) => return code,
    };
    let mut rows = Vec::new();
    for script in scripts {
        eprintln!("{}", script.name);
        match row(&script, arguments) {
            Ok(row) => rows.push(row),
            Err(code) => return code,
        }
    }
    println!("{}", table(&rows));
    exit_code(rows.iter().all(Variance::all_met))
}

/// All scripts, which are read before the first is run. Each that can't be used is reported.
fn scripts(arguments: &SpreadArguments) -> Result<Vec<Script>, ExitCode> {
    let all = || scenarios::ALL.iter().map(|scenario| scenario.name.to_owned()).collect();
    let names = if arguments.scripts.is_empty() { all() } else { arguments.scripts.clone() };
    let results: Vec<_> = names.iter().map(|name| script(name).map_err(|error| unusable(&error))).collect();
    results.into_iter().collect()
}

/// The row of one script: its runs with its own seed, then those with further seeds.
fn row(script: &Script, arguments: &SpreadArguments) -> Result<Variance, ExitCode> {
    let mut row = Variance::new(&script.name);
    let own_seed = (0..arguments.plays).map(|_| (script.seed, true));
    let further_seeds =
        (0..u64::from(arguments.seeds)).map(|offset| (script.seed.wrapping_add(offset), false));
    for (seed, repeated) in own_seed.chain(further_seeds) {
        let nodes = arguments.nodes.unwrap_or(script.nodes);
        let script = Script { seed, nodes, ..script.clone() };
        let Some(played) = play(&script, arguments.player)? else {
            row.add_void();
            continue;
        };
        let report = Report::new(&script, played);
        if repeated {
            row.add_same_seed(&report);
        } else {
            row.add_other_seed(&report);
        }
    }
    Ok(row)
}

/// Runs a script once. Returns `None` if the machine was too busy, and an exit code if no further run makes sense.
fn play(script: &Script, player: Player) -> Result<Option<RunResult>, ExitCode> {
    if player == Player::Virtual {
        return Ok(Some(virtual_time::run(script)));
    }
    match sockets::run(script, false) {
        // Broken off by the operator.
        Ok(run) if run.partial => Err(ExitCode::from(VOID)),
        Ok(run) => Ok(Some(run.result)),
        Err(SocketRunError::Void(void)) => {
            eprintln!("{void}");
            Ok(None)
        }
        Err(error) => Err(unusable(&error)),
    }
}
