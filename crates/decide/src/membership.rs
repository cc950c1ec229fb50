//! Whether a list that discovery tells is taken, and what discovery is asked for next. A list that cannot be right is not
//! taken: the one held goes on, and a call that brought it counts as failed.
//!
//! A list that is empty, or older than the one held, is doubted and not refused for good: there are fleets that are
//! really shut down, and discoveries that lost their versions and count anew. Told so often in a row it is believed. Others
//! do alike (Envoy's panic threshold, Eureka's self-preservation), with a share of the fleet as the bound; here a fleet that
//! shrinks to a few in one list is taken at its word, since nothing new may go to a server that a list lacks.

use crate::api::Availability;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A list that is doubted is believed when it is told so often, with none taken between.
const BELIEVED: u32 = 3;

/// An entry of a list, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed<'a> {
    /// The server.
    pub name: &'a str,
    /// What is said of it.
    pub state: Availability,
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

    /// Something of an answer was heeded that was not taken: only the whole list tells whether it was so.
    pub fn heeded(&mut self) {
        self.ask_whole = true;
    }

    /// Whether a list is taken, which then is the one held. Of changes to one server the last holds: they are told in order.
    pub fn judge(&mut self, seq: u64, whole: bool, hosts: &[Listed]) -> Result<Vec<Remark>, Doubt> {
        let mut remarks = Vec::new();
        if let Some(doubt) = self.doubt(seq, whole, hosts) {
            let may_be_so = whole && matches!(doubt, Doubt::Empty { .. } | Doubt::Older { .. });
            self.doubted += u32::from(may_be_so);
            if !may_be_so || self.doubted < BELIEVED {
                // The whole list tells what is so. A watch would not: a discovery that counts anew has nothing newer to tell
                // until it has passed the version that is held.
                self.ask_whole = true;
                return Err(doubt);
            }
            remarks.push(Remark::Believed(doubt));
        }
        (self.held, self.ask_whole, self.doubted) = (Some(seq), false, 0);
        if whole {
            self.ready.clear();
        }
        for (at, host) in hosts.iter().enumerate() {
            let ready = host.state == Availability::Ready;
            if ready && !host.has_address {
                remarks.push(Remark::NoAddress { at, name: host.name.to_owned() });
            }
            if ready && host.has_address {
                self.ready.insert(host.name.to_owned());
            } else {
                self.ready.remove(host.name);
            }
        }
        Ok(remarks)
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
