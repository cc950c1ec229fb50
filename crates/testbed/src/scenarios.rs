//! The scenarios that ship with the program: the files under `scenarios/`.

/// A scenario that ships with the program.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name, which is also that of its file.
    pub name: &'static str,
    /// The text of its script.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        &[$(Scenario { name: $name, text: include_str!(concat!("../../../scenarios/", $name, ".toml")) }),*]
    };
}

/// All scenarios: first those with one fault, then those in which several overlap.
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

/// The scenario that runs if none is named: it has some of everything.
pub const DEFAULT: &str = "restarts-after-crash";

/// The scenario of this name.
pub fn named(name: &str) -> Option<Scenario> {
    ALL.iter().find(|scenario| scenario.name == name).copied()
}
