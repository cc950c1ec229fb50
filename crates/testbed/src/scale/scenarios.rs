//! The scale run scripts that ship with the program, from the files in `scenarios/scale/`.

use crate::scenarios::Scenario;

macro_rules! bundled_scripts {
    ($($name:literal),* $(,)?) => {
        &[$(Scenario { name: $name, text: include_str!(concat!("../../../../scenarios/scale/", $name, ".toml")) }),*]
    };
}

/// All scripts that ship.
pub const ALL: &[Scenario] = bundled_scripts![
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

/// The name of the script that runs if none is given.
pub const DEFAULT: &str = "quiet";

/// Returns the script with this name.
pub fn named(name: &str) -> Option<Scenario> {
    ALL.iter().find(|scenario| scenario.name == name).copied()
}
