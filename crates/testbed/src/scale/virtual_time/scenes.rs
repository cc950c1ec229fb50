//! The named scenes: the scale run scripts that ship with the program, and scenes that runs on sockets do not
//! support: the loss of a rack, a region that is cut off, and the start of all nodes at once without a list.

use super::scene::{Scene, SceneError, SceneEvent};
use crate::scale::messages::{ListedServer, ReplicaCapacity};
use crate::scale::scenarios;
use crate::scale::script::{Event, EventKind, ScaleScript};
use crate::scale::steps::{servers_at_start, Step};
use std::time::Duration;

/// The names and descriptions of scenes that only virtual time supports.
pub const VIRTUAL_ONLY: [(&str, &str); 3] = [
    (
        "rack-lost",
        "A quarter of one zone's nodes and servers is lost for a minute, and comes back all at once",
    ),
    ("region-cut-off", "One region is cut off from all others for an hour, in the middle of changes"),
    ("all-start", "All nodes start at once, without a list"),
];

/// Minimum time before the measurement, in which the calls of nodes spread out.
const MIN_SETTLE: Duration = Duration::from_secs(120);
/// Minimum time for nodes to catch up.
const MIN_CATCH_UP: Duration = Duration::from_secs(60);
const CHANGES_PER_DAY: f64 = 12_000.0;
/// Number of racks in a zone, which share its nodes and servers evenly.
const RACKS_PER_ZONE: u32 = 4;
const RACK_LOST_FOR: Duration = Duration::from_secs(60);
const CUT_OFF_FOR: Duration = Duration::from_secs(3_600);
/// Time before and after the event of a scene.
const MARGIN: Duration = Duration::from_secs(30);
/// Length of `all-start`. If there are few replicas, sending all lists may take most of it.
const ALL_START_LENGTH: Duration = Duration::from_secs(3_600);

/// The size of a scene.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// The number of nodes.
    pub nodes: u32,
    /// The number of servers on the list.
    pub servers: u32,
    /// The number of replicas of discovery.
    pub replicas: u32,
    /// Whether nodes know all replicas, or only the first one.
    pub mechanism: bool,
    /// The capacity of a replica.
    pub capacity: ReplicaCapacity,
    /// The seed of the random values.
    pub seed: u64,
}

impl Size {
    /// Returns the size of a script.
    pub fn of(script: &ScaleScript) -> Self {
        Self {
            nodes: script.nodes,
            servers: script.servers,
            replicas: script.replicas,
            mechanism: script.mechanism,
            capacity: script.capacity,
            seed: script.seed,
        }
    }
}

/// Returns the names of all scenes.
pub fn names() -> impl Iterator<Item = &'static str> {
    let shipped = scenarios::ALL.iter().map(|scenario| scenario.name);
    shipped.chain(VIRTUAL_ONLY.iter().map(|(name, _)| *name))
}

/// Creates the scene with this name at a given size.
///
/// # Errors
/// If no scene has this name, or its script has faults or an event that the simulation does not support.
pub fn named(name: &str, size: &Size) -> Result<Scene, SceneError> {
    match name {
        "rack-lost" => rack_lost(size),
        "region-cut-off" => region_cut_off(size),
        "all-start" => all_start(size),
        _ => shipped(name, size),
    }
}

/// Creates the scene of a script, with longer times to settle and catch up than in runs on sockets.
pub fn of_script(script: ScaleScript) -> Result<Scene, SceneError> {
    Scene::of_script(ScaleScript {
        settle: script.settle.max(MIN_SETTLE),
        catch_up: script.catch_up.max(MIN_CATCH_UP),
        ..script
    })
}

fn shipped(name: &str, size: &Size) -> Result<Scene, SceneError> {
    let unknown = || SceneError::Unknown { name: name.to_owned() };
    let scenario = scenarios::named(name).ok_or_else(unknown)?;
    let script = ScaleScript::parse(scenario.name, scenario.text).map_err(|faults| {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        SceneError::Script { faults: faults.join("; ") }
    })?;
    of_script(sized(script, size))
}

fn sized(script: ScaleScript, size: &Size) -> ScaleScript {
    ScaleScript {
        nodes: size.nodes,
        servers: size.servers,
        replicas: size.replicas,
        mechanism: size.mechanism,
        capacity: size.capacity,
        seed: size.seed,
        ..script
    }
}

/// Creates a script without events.
fn quiet(name: &str, length: Duration, size: &Size) -> Result<ScaleScript, SceneError> {
    let scene = shipped(scenarios::DEFAULT, size)?;
    Ok(ScaleScript { name: name.into(), length, events: Vec::new(), ..scene.script })
}

fn changes(length: Duration) -> Event {
    let kind = EventKind::Changes { per_day: CHANGES_PER_DAY, step: Duration::from_secs(2) };
    Event { at: Duration::ZERO, duration: Some(length), kind }
}

fn rack_lost(size: &Size) -> Result<Scene, SceneError> {
    let script = quiet("rack-lost", MARGIN + RACK_LOST_FOR + MARGIN, size)?;
    let (lost, back) = (MARGIN, MARGIN + RACK_LOST_FOR);
    let zones = script.zones;
    let in_rack =
        move |number: u32| number.is_multiple_of(zones) && (number / zones).is_multiple_of(RACKS_PER_ZONE);
    let nodes: Vec<_> = (0..script.nodes).filter(|node| in_rack(*node)).collect();
    let numbered = (0u32..).zip(servers_at_start(&script));
    let servers: Vec<_> = numbered.filter(|(number, _)| in_rack(*number)).map(|(_, server)| server).collect();
    let of_servers = servers.into_iter().flat_map(|server| {
        let gone = ListedServer { health: "gone".into(), ..server.clone() };
        [(lost, change(gone, false)), (back, change(server, true))]
    });
    let of_nodes = [(lost, Step::Kill(nodes.clone())), (back, Step::Launch(nodes))];
    let steps: Vec<_> = of_nodes.into_iter().chain(of_servers).collect();
    let events = steps.into_iter().map(|(at, step)| (at, SceneEvent::Step(step)));
    Ok(Scene::of_script(script)?.with(events))
}

fn change(server: ListedServer, starts: bool) -> Step {
    Step::Change { server, starts }
}

fn region_cut_off(size: &Size) -> Result<Scene, SceneError> {
    let length = MARGIN + CUT_OFF_FOR + MARGIN;
    let script = ScaleScript { events: vec![changes(length)], ..quiet("region-cut-off", length, size)? };
    // The last region, which has no replica of its own if there are fewer replicas than regions.
    let region = script.regions - 1;
    let cut = (MARGIN, SceneEvent::CutOff { region });
    let back = (MARGIN + CUT_OFF_FOR, SceneEvent::Reconnect { region });
    Ok(Scene::of_script(script)?.with([cut, back]))
}

fn all_start(size: &Size) -> Result<Scene, SceneError> {
    let script = ScaleScript {
        settle: Duration::ZERO,
        catch_up: Duration::ZERO,
        ..quiet("all-start", ALL_START_LENGTH, size)?
    };
    let all = (0..script.nodes).collect();
    let launch = (Duration::ZERO, SceneEvent::Step(Step::Launch(all)));
    let scene = Scene::of_script(script)?.with([launch]);
    Ok(Scene { starts_running: false, ..scene })
}
