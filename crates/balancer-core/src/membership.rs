//! Whether a list that discovery tells is taken, and what discovery is asked for next. A list that cannot be right is not
//! taken: the one held goes on, and a call that brought it counts as failed.
//!
//! A list that is empty, or older than the one held, is doubted and not refused for good: there are fleets that are
//! really shut down, and discoveries that lost their versions and count anew. Told so often in a row it is believed. Others
//! do alike (Envoy's panic threshold, Eureka's self-preservation), with a share of the fleet as the bound; here a fleet that
//! shrinks to a few in one list is taken at its word, since nothing new may go to a server that a list lacks.
//!
//! Where replicas of one service are asked, one that repeats itself proves nothing: an empty list takes three of them, or
//! all where there are fewer, and an older one takes all of them. Any number below that may just lag behind, together, after
//! a network that was parted; a replica that cannot be reached may be the one that has the newer list. The neighbours are
//! asked for changes, as before: a full list for each node is more than they could send.

use crate::api::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A list that is doubted is believed when it is told so often, with none taken between.
const BELIEVED: u32 = 3;

/// An answer that is no list is not taken at its word for a version further ahead than this. It is 2 h of changes, of 12,000
/// a day.
const MOST_AHEAD: u64 = 1_000;

/// An entry of a list, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed<'a> {
    /// The server.
    pub name: &'a str,
    /// What is said of it.
    pub state: EndpointState,
    /// It has an address.
    pub has_address: bool,
}

/// Why a list is not taken. Places count from 0, as in the list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Doubt {
    /// Two entries of a whole list have one name, and nothing says which holds.
    #[error("hosts[{second}]: {name} again, which stands at hosts[{first}] already")]
    Twice {
        /// Where it stands first.
        first: usize,
        /// Where it stands again.
        second: usize,
        /// The name.
        name: String,
    },
    /// A whole list names nobody, and servers that take work are known.
    #[error("hosts: nobody, where {known} ready servers are known")]
    Empty {
        /// How many are known.
        known: usize,
    },
    /// The version goes back.
    #[error("seq: {told}, older than {held}, which is held")]
    Older {
        /// The version that was told.
        told: u64,
        /// The version that is held.
        held: u64,
    },
    /// Changes came where the whole list was asked for.
    #[error("whole: false, where the whole list was asked for")]
    NotWhole,
}

/// What is odd in a list that is taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Remark {
    /// A server is ready, and nobody can tell where: nothing is sent there.
    #[error("hosts[{at}]: {name} is ready and has no address; expected one in dial")]
    NoAddress {
        /// Where.
        at: usize,
        /// The server.
        name: String,
    },
    /// It was doubted, and is told again and again.
    #[error("{0}; taken, since it was told {BELIEVED} times in a row")]
    Believed(Doubt),
    /// The same of several replicas.
    #[error("{doubt}; taken, since {replicas} replicas told it and none another")]
    BelievedOfReplicas {
        /// Why it was doubted.
        doubt: Doubt,
        /// How many told it.
        replicas: usize,
    },
}

/// Who told a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Teller<'a> {
    /// The replica's name.
    pub replica: &'a str,
    /// How many replicas share the sequence of versions, this one included.
    pub replicas: usize,
}

impl Teller<'_> {
    /// One discovery that has no replicas.
    pub const ONLY: Self = Self { replica: "", replicas: 1 };

    fn has_neighbours(self) -> bool {
        self.replicas > 1
    }
}

/// Servers that a replica told to be leaving in an answer that was not taken. Its neighbours may not know yet.
#[derive(Clone, Debug, Default)]
struct Withheld {
    names: BTreeSet<String>,
    /// The version of that answer, as far as it could be read: older lists do not tell whether it was so.
    version: u64,
}

impl Withheld {
    /// Any bytes may stand for a version.
    fn bound(&mut self, held: Option<u64>) {
        if let Some(held) = held {
            self.version = self.version.min(held.saturating_add(1 + MOST_AHEAD));
        }
    }
}

/// What is known of the list, and of those that were doubted.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Version of the list held.
    held: Option<u64>,
    /// The next call asks for the whole list, whatever is held.
    ask_whole: bool,
    ready: BTreeSet<String>,
    doubted: u32,
    /// The replicas that told a doubted list since one was taken.
    doubted_by: BTreeSet<String>,
    withheld: Withheld,
}

impl Membership {
    /// Begins with a list of this version and these ready servers; `None` where the version is nothing to go by.
    pub fn new(version: Option<u64>, ready: impl IntoIterator<Item = String>) -> Self {
        Self { held: version, ready: ready.into_iter().collect(), ..Self::default() }
    }

    /// Changes after this version are asked for; `None` for the whole list.
    pub fn asks_after(&self) -> Option<u64> {
        self.held.filter(|_| !self.ask_whole)
    }

    /// Another discovery is asked from here on: versions of the one before mean nothing there.
    pub fn moved(&mut self) {
        *self = Self::new(None, std::mem::take(&mut self.ready));
    }

    /// Other replicas of the same service are asked from here on: the list held goes on, and who doubted it is forgotten.
    pub fn replicas_changed(&mut self) {
        self.doubted = 0;
        self.doubted_by.clear();
    }

    /// Something of an answer was heeded that was not taken: only the whole list tells whether it was so.
    pub fn heeded(&mut self) {
        self.ask_whole = true;
    }

    /// The same of one of several replicas, whose neighbours may not know yet what it told. `version` is that of the answer,
    /// as far as it could be read. Until a list as new as that is taken these servers are [`Self::withheld`].
    pub fn heeded_from(&mut self, teller: Teller, version: Option<u64>, leaving: BTreeSet<String>) {
        if !teller.has_neighbours() {
            return self.heeded();
        }
        let next = self.held.map_or(0, |held| held.saturating_add(1));
        // What is older than the list held, and differs from it, has been changed since: the next list tells.
        self.withheld.version = self.withheld.version.max(version.unwrap_or(next));
        self.withheld.bound(self.held);
        self.ready.retain(|name| !leaving.contains(name));
        self.withheld.names.extend(leaving);
    }

    /// Servers that get no new work although the list that was taken last may call them ready: a replica told that they
    /// are leaving, and that list is older.
    pub fn withheld(&self) -> &BTreeSet<String> {
        &self.withheld.names
    }

    /// A list is held whose version is known.
    pub fn holds_list(&self) -> bool {
        self.held.is_some()
    }

    /// How many servers of the list held are ready.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Whether this one is known to be ready.
    pub fn is_ready(&self, name: &str) -> bool {
        self.ready.contains(name)
    }

    /// [`Self::judge_from`] a discovery without replicas.
    pub fn judge(&mut self, seq: u64, whole: bool, hosts: &[Listed]) -> Result<Vec<Remark>, Doubt> {
        self.judge_from(Teller::ONLY, seq, whole, hosts)
    }

    /// Whether a list is taken, which then is the one held. Of changes to one server the last holds: they are told in order.
    pub fn judge_from(
        &mut self,
        teller: Teller,
        seq: u64,
        whole: bool,
        hosts: &[Listed],
    ) -> Result<Vec<Remark>, Doubt> {
        let mut remarks = Vec::new();
        if let Some(doubt) = self.doubt(seq, whole, hosts) {
            if !self.is_believed(teller, whole, &doubt) {
                return Err(doubt);
            }
            remarks.push(if teller.has_neighbours() {
                Remark::BelievedOfReplicas { doubt, replicas: self.doubted_by.len() }
            } else {
                Remark::Believed(doubt)
            });
        }
        self.take(seq, whole, hosts);
        remarks.extend(without_address(hosts));
        Ok(remarks)
    }

    /// Counts a doubted list, says whether it is believed by now, and what is asked for next if it is not.
    fn is_believed(&mut self, teller: Teller, whole: bool, doubt: &Doubt) -> bool {
        let tellers = match doubt {
            Doubt::Empty { .. } => teller.replicas.min(BELIEVED as usize),
            Doubt::Older { .. } => teller.replicas,
            Doubt::Twice { .. } | Doubt::NotWhole => usize::MAX,
        };
        let may_be_so = tellers < usize::MAX;
        self.doubted = self.doubted.saturating_add(u32::from(whole && may_be_so));
        if may_be_so {
            self.doubted_by.insert(teller.replica.to_owned());
        }
        let by_enough = self.doubted_by.len() >= tellers;
        if whole && self.doubted >= BELIEVED && by_enough {
            return true;
        }
        // The whole list tells what is so. A watch would not: a discovery that counts anew has nothing newer to tell
        // until it has passed the version that is held. A neighbour may well have.
        self.ask_whole |= !teller.has_neighbours() || by_enough;
        false
    }

    fn take(&mut self, seq: u64, whole: bool, hosts: &[Listed]) {
        // A node that held no list knows only now what its versions are about.
        self.withheld.bound(self.held.or(Some(seq)));
        (self.held, self.ask_whole, self.doubted) = (Some(seq), false, 0);
        self.doubted_by.clear();
        if whole {
            self.ready.clear();
        }
        self.release(seq, whole, hosts);
        for host in hosts {
            let works = host.state == EndpointState::Ready && host.has_address;
            if works && !self.withheld.names.contains(host.name) {
                self.ready.insert(host.name.to_owned());
            } else {
                self.ready.remove(host.name);
            }
        }
    }

    /// A list as new as what was heeded tells whether it was so.
    fn release(&mut self, seq: u64, whole: bool, hosts: &[Listed]) {
        if seq < self.withheld.version {
            return;
        }
        if whole {
            self.withheld.names.clear();
        }
        for host in hosts {
            self.withheld.names.remove(host.name);
        }
        if self.withheld.names.is_empty() {
            self.withheld.version = 0;
        } else {
            // Of these it was not so, or has been taken back before: only the whole list tells.
            self.ask_whole = true;
        }
    }

    fn doubt(&self, told: u64, whole: bool, hosts: &[Listed]) -> Option<Doubt> {
        if !whole && self.asks_after().is_none() {
            return Some(Doubt::NotWhole);
        }
        if whole {
            let mut places = BTreeMap::new();
            for (second, host) in hosts.iter().enumerate() {
                if let Some(first) = places.insert(host.name, second) {
                    return Some(Doubt::Twice { first, second, name: host.name.to_owned() });
                }
            }
        }
        if let Some(held) = self.held.filter(|held| told < *held) {
            return Some(Doubt::Older { told, held });
        }
        let known = self.ready.len();
        (whole && hosts.is_empty() && known > 0).then_some(Doubt::Empty { known })
    }
}

/// Ready servers that nobody can tell the way to.
fn without_address<'a>(hosts: &'a [Listed]) -> impl Iterator<Item = Remark> + 'a {
    let lost =
        hosts.iter().enumerate().filter(|(_, host)| host.state == EndpointState::Ready && !host.has_address);
    lost.map(|(at, host)| Remark::NoAddress { at, name: host.name.to_owned() })
}
