//! `cache-balancer scale --player virtual`: clients of discovery alone, without sockets and clock.

use super::{failed, overridden, script, Run, UNUSABLE};
use std::process::ExitCode;
use testbed::scale::scenarios;
use testbed::scale::virtual_time::scenes::{self, Size, VIRTUAL_ONLY};
use testbed::scale::virtual_time::{table, Scene, SceneError};
use testbed::scale::ScaleScript;

/// Plays a scene and prints what came of it.
pub(super) fn run(arguments: &Run) -> ExitCode {
    if arguments.svg.is_some() {
        return failed("--svg: expected --player sockets; times in virtual time are not plotted");
    }
    let name = arguments.script.as_str();
    let only = VIRTUAL_ONLY.iter().any(|(known, _)| *known == name);
    let Some(script) = script(if only { scenarios::DEFAULT } else { name }) else {
        return ExitCode::from(UNUSABLE);
    };
    let scene = match scene(name, only, overridden(script, arguments)) {
        Ok(scene) => scene,
        Err(error) => return failed(&error.to_string()),
    };
    let outcome = testbed::scale::virtual_time::run(&scene);
    if !arguments.json {
        println!("{}", table([(scene.script.name.as_str(), &outcome)]));
        return ExitCode::SUCCESS;
    }
    match serde_json::to_string(&outcome) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => failed(&format!("the result can't be written: {error}")),
    }
}

fn scene(name: &str, virtual_only: bool, script: ScaleScript) -> Result<Scene, SceneError> {
    if virtual_only {
        scenes::named(name, &Size::of(&script))
    } else {
        scenes::of_script(script)
    }
}
