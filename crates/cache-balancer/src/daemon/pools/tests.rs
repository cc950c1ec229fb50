use super::*;
use crate::config::operator;
use balancer_core::discovery::ReplicaCapacity;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use tokio::sync::mpsc::UnboundedReceiver;

/// Ports of the replicas that a file may name.
const PORTS: std::ops::RangeInclusive<u16> = 1..=6;
const POOLS: [&str; 2] = ["p", "q"];

/// The discovery of one pool in a file: ports in the order of the file, and the capacity if it is stated.
#[derive(Clone, Debug)]
struct Wanted {
    ports: Vec<u16>,
    capacity: Option<ReplicaCapacity>,
}

impl Wanted {
    fn replicas(&self) -> DiscoveryReplicas {
        let addresses = self.ports.iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port)));
        DiscoveryReplicas::new(addresses.collect(), self.capacity)
    }

    /// No replica, or the same one twice, is a fault.
    fn is_faulty(&self) -> bool {
        let once: BTreeSet<_> = self.ports.iter().collect();
        once.is_empty() || once.len() < self.ports.len()
    }

    fn text(&self, name: &str) -> String {
        let addresses: Vec<_> = self.ports.iter().map(|port| format!("\"127.0.0.1:{port}\"")).collect();
        let mut text = format!("[[pool]]\nname = \"{name}\"\ndiscovery = [{}]\n", addresses.join(", "));
        if let Some(ReplicaCapacity { lines_per_second, call_lines }) = self.capacity {
            text += &format!("discovery_lines_per_second = {lines_per_second:?}\n");
            text += &format!("discovery_call_lines = {call_lines:?}\n");
        }
        text
    }
}

/// A file with both pools, in this or the other order.
#[derive(Clone, Debug)]
struct File {
    pools: [Wanted; POOLS.len()],
    backwards: bool,
}

impl File {
    fn read(&self) -> Result<Config, operator::FileError> {
        let mut pools: Vec<_> =
            self.pools.iter().zip(POOLS).map(|(wanted, name)| wanted.text(name)).collect();
        if self.backwards {
            pools.reverse();
        }
        let text = format!(
            "version = 1\nname = \"n0\"\nseed = 1\n{}[[class]]\nname = \"a\"\npool = \"p\"\n",
            pools.concat()
        );
        operator::read("cache-balancer.toml", &text, Path::new("/"))
    }
}

fn wanted() -> impl Strategy<Value = Wanted> {
    // Mostly without a fault; the list may name one twice.
    let ports = prop_oneof![
        8 => proptest::sample::subsequence(PORTS.collect::<Vec<_>>(), 1..=6).prop_shuffle(),
        1 => proptest::collection::vec(PORTS, 0..=3),
    ];
    let capacity = proptest::sample::select(vec![
        None,
        Some(ReplicaCapacity { lines_per_second: 200.0, call_lines: 10.0 }),
        Some(ReplicaCapacity { lines_per_second: 400.0, call_lines: 10.0 }),
    ]);
    (ports, capacity).prop_map(|(ports, capacity)| Wanted { ports, capacity })
}

fn files() -> impl Strategy<Value = Vec<File>> {
    let file = ([wanted(), wanted()], any::<bool>()).prop_map(|(pools, backwards)| File { pools, backwards });
    proptest::collection::vec(file, 1..20)
}

/// The ends of a pool that its client and its driver hold.
struct Ends {
    replicas: watch::Receiver<DiscoveryReplicas>,
    inputs: UnboundedReceiver<DriverInput>,
    client: AbortHandle,
}

/// A running pool whose client polls nothing.
fn running(pool: &Pool) -> (Running, Ends) {
    let Source::Discovery(replicas) = &pool.source else { panic!("expected discovery") };
    let (sender, replicas) = watch::channel(replicas.clone());
    let client = tokio::spawn(std::future::pending::<()>()).abort_handle();
    let (driver_inputs, inputs) = mpsc::unbounded_channel();
    let running = Running {
        pool: pool.clone(),
        driver_inputs,
        ready: watch::channel(false).1,
        list: ListWatch::Discovery(sender, client.clone()),
        poll_settings: Rc::new(Cell::new(PollSettings::from(&pool.settings))),
    };
    (running, Ends { replicas, inputs, client })
}

/// The pools of this configuration, and their ends in the order of [`POOLS`].
fn pools(config: &Config) -> (Pools, Vec<Ends>) {
    let (running, ends): (Vec<_>, Vec<_>) = config.pools.iter().map(running).unzip();
    let pools = Pools {
        running,
        connection_limit: Rc::new(ConnectionLimit::new(1)),
        node: config.name.clone(),
        tally: Rc::default(),
        seed: config.seed,
        started: POOLS.len() as u64,
    };
    (pools, ends)
}

/// The differences that the log has to name for a pool, by a comparison of sets.
fn expected_differences(name: &str, current: &DiscoveryReplicas, wanted: &DiscoveryReplicas) -> Vec<String> {
    let set = |replicas: &DiscoveryReplicas| replicas.addresses.iter().copied().collect::<BTreeSet<_>>();
    let mut differences = Vec::new();
    if set(current) != set(wanted) {
        let addresses: Vec<_> = set(wanted).iter().map(ToString::to_string).collect();
        differences.push(format!("pool {name}: list from discovery at {}", addresses.join(", ")));
    }
    if current.capacity != wanted.capacity {
        differences.push(match wanted.capacity {
            Some(ReplicaCapacity { lines_per_second, .. }) => {
                format!("pool {name}: discovery of {lines_per_second} lines a second and 10 a call")
            }
            None => format!("pool {name}: discovery of unknown capacity"),
        });
    }
    differences
}

/// Reloads these files one after the other, and compares what clients and log are notified of with a model of sets.
async fn reload_each(files: Vec<File>) -> Result<(), TestCaseError> {
    let first = File {
        pools: [(); POOLS.len()].map(|()| Wanted { ports: vec![1], capacity: None }),
        backwards: false,
    };
    let mut current = first.read().expect("a file without fault");
    let mut model = first.pools.map(|wanted| wanted.replicas());
    let (mut pools, mut ends) = pools(&current);
    for file in files {
        let read = file.read();
        prop_assert_eq!(read.is_err(), file.pools.iter().any(Wanted::is_faulty));
        if let Ok(config) = read {
            let change = Change::between(&current, &config);
            let mut differences = Vec::new();
            let mut order: Vec<_> = file.pools.iter().zip(POOLS).zip(&model).collect();
            if file.backwards {
                order.reverse();
            }
            for ((wanted, name), model) in order {
                differences.extend(expected_differences(name, model, &wanted.replicas()));
            }
            let expected =
                if differences.is_empty() { "nothing changed".to_owned() } else { differences.join(", ") };
            prop_assert_eq!(change.to_string(), expected);
            pools.change(&change, &config);
            current = config;
            let before = std::mem::replace(&mut model, file.pools.map(|wanted| wanted.replicas()));
            for (ends, (before, after)) in ends.iter().zip(before.iter().zip(&model)) {
                prop_assert_eq!(ends.replicas.has_changed().ok(), Some(before != after));
            }
        }
        for (ends, model) in ends.iter_mut().zip(&model) {
            prop_assert_eq!(&*ends.replicas.borrow_and_update(), model);
            prop_assert!(!ends.client.is_finished());
            // A driver is notified of settings and of lists, and neither has changed.
            prop_assert!(ends.inputs.try_recv().is_err());
        }
        let names: Vec<_> = pools.running.iter().map(|running| running.pool.name.as_str()).collect();
        let expected: Vec<_> = current.pools.iter().map(|pool| pool.name.as_str()).collect();
        prop_assert_eq!(names, expected);
    }
    Ok(())
}

proptest! {
    /// A reload that changes nothing could end a watch, or a client could never hear of other replicas.
    #[test]
    fn reloads_report_other_replicas_and_capacities_and_nothing_else(files in files()) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(reload_each(files))?;
    }
}

#[tokio::test]
async fn a_removed_pool_ends_its_discovery_client() {
    let file = File {
        pools: [(); POOLS.len()].map(|()| Wanted { ports: vec![1, 2], capacity: None }),
        backwards: false,
    };
    let current = file.read().expect("a file without fault");
    let (mut pools, mut ends) = pools(&current);
    let mut wanted = current.clone();
    wanted.pools.truncate(1);
    pools.change(&Change::between(&current, &wanted), &wanted);
    // An aborted task ends when it is polled next.
    tokio::task::yield_now().await;
    assert_eq!([ends[0].client.is_finished(), ends[1].client.is_finished()], [false, true]);
    assert!(matches!(ends[1].inputs.try_recv(), Ok(DriverInput::PoolRemoved)));
    assert!(ends[1].replicas.has_changed().is_err(), "no sender of replicas is left");
}
