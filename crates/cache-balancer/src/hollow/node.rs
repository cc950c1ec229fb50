//! One hollow node: what a node runs for one pool, without clients.

use super::ActivityRecord;
use crate::config::DiscoveryReplicas;
use crate::discovery::DiscoveryPoller;
use crate::driver::Driver;
use crate::endpoint_list::EndpointList;
use crate::input::DriverInput;
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

/// [`Settings::drain_grace`], as on the platform.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// [`Settings::max_poll_interval`], as on the platform.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The bound of connections to cache servers. Without clients none is opened.
const MAX_CONNECTIONS: usize = 4;
/// Spreads consecutive numbers over 64 bits: 2^64 divided by the golden ratio (D. Knuth, TAOCP vol. 3, 6.4).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// What all hollow nodes of a process share.
pub struct SharedSetup {
    /// The number of nodes of the whole fleet.
    pub fleet: u32,
    /// The seed of random numbers.
    pub seed: u64,
    /// The zones of the nodes, assigned in turn by their numbers.
    pub zones: Vec<String>,
    /// The replicas of discovery that they poll.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Where they record what they did.
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

    /// The random numbers of one launch of a node.
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
    /// Starts a node with this list, which may be empty. `launch` is different for each launch in this process.
    pub fn launch(number: u32, setup: &SharedSetup, launch: u64, known: EndpointList) -> Self {
        let mut random = setup.random(number, launch);
        let settings = setup.settings(number);
        let name = format!("h{number}");
        let (driver_inputs, inputs) = mpsc::unbounded_channel();
        let upstream = Rc::new(Upstream::new(
            Rc::new(ConnectionLimit::new(MAX_CONNECTIONS)),
            settings.connect_timeout,
            settings.server_idle_timeout,
        ));
        spawn_local(Upstream::close_expired_idle(Rc::downgrade(&upstream)));
        let discovery = DiscoveryPoller {
            node: name.clone(),
            replicas: setup.replicas.clone(),
            validator: ListValidator::new(
                (!known.endpoints.is_empty()).then_some(known.version),
                known.ready_ids(),
            ),
            poll_settings: Rc::new(Cell::new(PollSettings::from(&settings))),
            random: random.fork(),
            driver_inputs: driver_inputs.clone(),
        };
        let balancer = Balancer::new(settings, random.u64(..));
        // The readiness of a hollow node is not observed.
        let ready = watch::Sender::new(false);
        let tally = Tally::new(&name, "pool", Rc::new(Cell::new(false)));
        let record = setup.record.clone();
        let driver = Driver::new(balancer, upstream, ready, driver_inputs.clone(), tally)
            .with_observer(Box::new(move |event| record.add(number, event)));
        let driver = spawn_local(driver.run(known, inputs)).abort_handle();
        let discovery = spawn_local(discovery.run()).abort_handle();
        Self { driver_inputs, driver, discovery }
    }

    /// Completes when the node has applied the list that it started with; fails if the node was killed before.
    pub fn started(&self) -> oneshot::Receiver<()> {
        let (answer, started) = oneshot::channel();
        // The node may have been killed.
        let _ = self.driver_inputs.send(DriverInput::LivenessCheck(answer));
        started
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        self.discovery.abort();
        self.driver.abort();
    }
}
