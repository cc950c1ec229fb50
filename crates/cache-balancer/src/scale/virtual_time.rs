//! `cache-balancer scale --player virtual`: simulates only the discovery clients, without sockets and in
//! virtual time.

use super::{apply_overrides, load_script, RunArguments, ScaleError};
use std::process::ExitCode;
use testbed::scale::scenarios;
use testbed::scale::virtual_time::scenes::{self, Size, VIRTUAL_ONLY};
use testbed::scale::virtual_time::{self, table, Scene};

/// Runs a scene, prints the outcome and returns the exit code.
pub(super) fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    if arguments.svg.is_some() {
        return Err(ScaleError::PlotOfVirtualTime);
    }
    let scene = scene(arguments)?;
    let outcome = virtual_time::run(&scene);
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome).map_err(|error| ScaleError::Json("result", error))?);
    } else {
        println!("{}", table([(scene.script.name.as_str(), &outcome)]));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the scene of a script, or a scene that exists in virtual time only. The latter takes its size from
/// the default script.
fn scene(arguments: &RunArguments) -> Result<Scene, ScaleError> {
    let name = arguments.script.as_str();
    let virtual_only = VIRTUAL_ONLY.iter().any(|(known, _)| *known == name);
    let script = load_script(if virtual_only { scenarios::DEFAULT } else { name })?;
    let script = apply_overrides(script, arguments);
    let scene =
        if virtual_only { scenes::named(name, &Size::of(&script)) } else { scenes::of_script(script) };
    scene.map_err(|error| ScaleError::Run(error.into()))
}
