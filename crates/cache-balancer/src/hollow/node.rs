//! One hollow node: what a node runs for one pool, with nobody to serve.

use super::Record;
use crate::config::DiscoveryReplicas;
use crate::discovery::Discovery;
use crate::driver::Driver;
use crate::input::Input;
use crate::listing::Listing;
use crate::tally::Tally;
use crate::upstream::{Places, Upstream};
use balancer_core::discovery::{ListValidator, PollSettings};
use balancer_core::{Balancer, Idempotency, RequestClass, Settings};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};

/// Nothing new may go to a server later than this after it was told to be leaving.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A node that has not asked for this long counts as told.
const ASK_WITHIN: Duration = Duration::from_secs(10);
/// Connections to cache servers that it may hold. It has no clients, and makes none.
const PLACES: usize = 4;
/// Consecutive numbers times this are far apart: 2^64 over the golden ratio (D. Knuth, TAOCP vol. 3, 6.4).
const APART: u64 = 0x9e37_79b9_7f4a_7c15;

/// What all hollow nodes of a process have in common.
pub struct Common {
    /// Nodes of the whole fleet.
    pub fleet: u32,
    /// For random numbers.
    pub seed: u64,
    /// Zones of the nodes, dealt in turn by their numbers.
    pub zones: Vec<String>,
    /// Whom they ask.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Where they write down what they did.
    pub record: Rc<Record>,
}

impl Common {
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
            max_poll_interval: ASK_WITHIN,
            ..Settings::default()
        }
    }

    /// The random numbers of one launch of a node.
    fn random(&self, number: u32, launch: u64) -> fastrand::Rng {
        let place = u64::from(number) << 32 | launch & u64::from(u32::MAX);
        let mut random = fastrand::Rng::with_seed(self.seed.wrapping_add(place.wrapping_mul(APART)));
        random.fork()
    }
}

/// A node that is up. It is killed when this is dropped: its connections close, and all that it knows is lost.
pub struct HollowNode {
    events: UnboundedSender<Input>,
    driver: AbortHandle,
    discovery: AbortHandle,
}

impl HollowNode {
    /// Starts one that knows this list, which may be empty. `launch` differs from that of all others in this process.
    pub fn launch(number: u32, common: &Common, launch: u64, known: Listing) -> Self {
        let mut random = common.random(number, launch);
        let settings = common.settings(number);
        let name = format!("h{number}");
        let (events, inputs) = mpsc::unbounded_channel();
        let upstream = Rc::new(Upstream::new(
            Rc::new(Places::new(PLACES)),
            settings.connect_timeout,
            settings.server_idle_timeout,
        ));
        spawn_local(Upstream::sweep(Rc::downgrade(&upstream)));
        let discovery = Discovery {
            node: name.clone(),
            replicas: common.replicas.clone(),
            membership: ListValidator::new((!known.hosts.is_empty()).then_some(known.seq), known.ready()),
            terms: Rc::new(Cell::new(PollSettings::from(&settings))),
            random: random.fork(),
            events: events.clone(),
        };
        let balancer = Balancer::new(settings, random.u64(..));
        // Its readiness interests nobody.
        let ready = watch::Sender::new(false);
        let tally = Tally::new(&name, "pool", Rc::new(Cell::new(false)));
        let record = common.record.clone();
        let driver = Driver::new(balancer, upstream, ready, events.clone(), tally)
            .observed(Box::new(move |heard| record.note(number, heard)));
        let driver = spawn_local(driver.run(known, inputs)).abort_handle();
        let discovery = spawn_local(discovery.run()).abort_handle();
        Self { events, driver, discovery }
    }

    /// Ends when its decisions have had the list that it started with, or it was killed.
    pub fn begun(&self) -> oneshot::Receiver<()> {
        let (answer, begun) = oneshot::channel();
        // One that was killed answers nothing.
        let _ = self.events.send(Input::Alive(answer));
        begun
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        self.discovery.abort();
        self.driver.abort();
    }
}
