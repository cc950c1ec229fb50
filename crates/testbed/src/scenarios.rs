//! The scenarios that ship with the program: the files under `scenarios/`.

/// One of them.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Its file's text.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        &[$(Scenario { name: $name, text: include_str!(concat!("../../../scenarios/", $name, ".toml")) }),*]
    };
}

/// All of them: those with one incident, then those in which several overlap.
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

/// What is played where nothing is named: a part of everything.
pub const DEFAULT: &str = "restarts-after-crash";

/// The one of this name.
pub fn named(name: &str) -> Option<Scenario> {
    ALL.iter().find(|scenario| scenario.name == name).copied()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Script;

    #[test]
    fn all_that_ship_are_without_fault_and_go_by_their_names() {
        for scenario in ALL {
            let script =
                Script::parse(scenario.name, scenario.text).unwrap_or_else(|faults| panic!("{faults:?}"));
            assert_eq!(script.name, scenario.name);
            assert!(script.expect.service.is_some() && !script.about.is_empty(), "{}", scenario.name);
            assert!(scenario.text.lines().count() <= 80, "{} is longer than a page", scenario.name);
        }
        assert!(named(DEFAULT).is_some());
    }
}
