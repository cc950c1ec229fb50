//! A hollow node: everything a node runs for one pool, except connections to clients.

use super::ActivityRecord;
use crate::config::DiscoveryReplicas;
use crate::discovery::DiscoveryPoller;
use crate::driver::Driver;
use crate::endpoint_list::EndpointList;
use crate::input::DriverInput;
use crate::memory::MemoryAccount;
use crate::tally::Tally;
use crate::upstream::{ConnectionLimit, Upstream};
use balancer_core::discovery::{ListValidator, PollSettings};
use balancer_core::{Balancer, Idempotency, RequestClass, Settings};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};

/// [`Settings::drain_grace`] of hollow nodes, the same as on the platform.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// [`Settings::max_poll_interval`] of hollow nodes, the same as on the platform.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of connections to cache servers. None is opened, since there are no clients.
const MAX_CONNECTIONS: usize = 4;
/// Multiplier that spreads consecutive numbers over 64 bits: 2^64 divided by the golden ratio (D. Knuth,
/// TAOCP vol. 3, 6.4).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Settings and state that all hollow nodes of a process share.
pub struct SharedSetup {
    /// Number of nodes in the whole fleet.
    pub fleet: u32,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Zones, assigned to nodes round-robin by node number.
    pub zones: Vec<String>,
    /// Discovery replicas that the nodes poll.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Record of the nodes' activity.
    pub record: Rc<ActivityRecord>,
}

impl SharedSetup {
    fn settings(&self, number: u32) -> Settings {
        let zone = match self.zones.len() {
            0 => None,
            zones => Some(self.zones[number as usize % zones].as_str().into()),
        };
        Settings {
            zone,
            nodes: self.fleet,
            classes: vec![RequestClass {
                name: "read".into(),
                idempotency: Idempotency::Idempotent,
                ..RequestClass::default()
            }],
            discovery_is_polled: true,
            drain_grace: DRAIN_GRACE,
            max_poll_interval: MAX_POLL_INTERVAL,
            ..Settings::default()
        }
    }

    /// Returns the random number generator of one launch of a node.
    fn random(&self, number: u32, launch: u64) -> fastrand::Rng {
        let stream = u64::from(number) << 32 | launch & u64::from(u32::MAX);
        let mut random = fastrand::Rng::with_seed(self.seed.wrapping_add(stream.wrapping_mul(GOLDEN_RATIO)));
        random.fork()
    }
}

/// A running node. Dropping it kills the node: its connections close and its state is lost.
pub struct HollowNode {
    driver_inputs: UnboundedSender<DriverInput>,
    driver: AbortHandle,
    discovery: AbortHandle,
}

impl HollowNode {
    /// Starts a node with this list, which may be empty. `launch` must be unique among the launches in this
    /// process.
    pub fn launch(number: u32, setup: &SharedSetup, launch: u64, initial_list: EndpointList) -> Self {
        let mut random = setup.random(number, launch);
        let settings = setup.settings(number);
        let name = format!("h{number}");
        let (driver_inputs, inputs) = mpsc::unbounded_channel();
        let upstream = Rc::new(Upstream::new(
            Rc::new(ConnectionLimit::new(MAX_CONNECTIONS, MemoryAccount::unlimited())),
            settings.connect_timeout,
            settings.server_idle_timeout,
        ));
        spawn_local(Upstream::close_expired_idle(Rc::downgrade(&upstream)));
        let discovery = DiscoveryPoller {
            node: name.clone(),
            replicas: setup.replicas.clone(),
            validator: ListValidator::new(
                (!initial_list.endpoints.is_empty()).then_some(initial_list.version),
                initial_list.ready_ids(),
            ),
            poll_settings: Rc::new(Cell::new(PollSettings::from(&settings))),
            random: random.fork(),
            driver_inputs: driver_inputs.clone(),
            memory: MemoryAccount::unlimited(),
        };
        let balancer = Balancer::new(settings, random.u64(..));
        // Nothing observes the readiness of a hollow node.
        let ready = watch::Sender::new(false);
        let tally = Tally::new(&name, "pool", Rc::new(Cell::new(false)));
        let record = setup.record.clone();
        let driver = Driver::new(balancer, upstream, ready, driver_inputs.clone(), tally)
            .with_observer(Box::new(move |event| record.add(number, event)));
        let driver = spawn_local(driver.run(initial_list, inputs)).abort_handle();
        let discovery = spawn_local(discovery.run()).abort_handle();
        Self { driver_inputs, driver, discovery }
    }

    /// Returns a receiver that completes when the node has applied its initial list, and fails if the node
    /// was killed before.
    pub fn started(&self) -> oneshot::Receiver<()> {
        let (reply, started) = oneshot::channel();
        // The node may have been killed.
        let _ = self.driver_inputs.send(DriverInput::LivenessCheck(reply));
        started
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        self.discovery.abort();
        self.driver.abort();
    }
}
