//! The scenarios that ship with the program, from the files under `scenarios/`.

/// A scenario that ships with the program.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name of the scenario and of its file, without the extension.
    pub name: &'static str,
    /// The text of its script.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        &[$(Scenario { name: $name, text: include_str!(concat!("../../../scenarios/", $name, ".toml")) }),*]
    };
}

/// All scenarios. Those with one kind of fault come first, then those with overlapping faults.
pub const ALL: &[Scenario] = shipped![
    "calm",
    "shrink",
    "rolling-deploy",
    "node-restarts",
    "boxes-die",
    "hot-keys",
    "failing-switch",
    "slow-origin",
    "discovery-away",
    "rolling-upgrade",
    "deploy-while-hot",
    "shrink-and-slow-origin",
    "restarts-after-crash",
    "reload-storm",
    "mass-restart",
    "power-cut",
    "mass-kill",
    "lost-zone",
    "mass-replacement",
    "hundreds",
];

/// The name of the scenario that runs by default. It combines many kinds of faults.
pub const DEFAULT: &str = "restarts-after-crash";

/// Returns the scenario with this name.
pub fn named(name: &str) -> Option<Scenario> {
    ALL.iter().find(|scenario| scenario.name == name).copied()
}
