//! The scripts of scale runs that ship with the program: the files under `scenarios/scale/`.

use crate::scenarios::Scenario;

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        &[$(Scenario { name: $name, text: include_str!(concat!("../../../../scenarios/scale/", $name, ".toml")) }),*]
    };
}

/// All scripts.
pub const ALL: &[Scenario] = shipped![
    "quiet",
    "changes",
    "changes-tenfold",
    "restarts-tenfold",
    "node-restarts",
    "zone",
    "replica-lost",
    "discovery-away",
    "replica-silent",
];

/// What is run where nothing is named.
pub const DEFAULT: &str = "quiet";

/// The one of this name.
pub fn named(name: &str) -> Option<Scenario> {
    ALL.iter().find(|scenario| scenario.name == name).copied()
}
