//! The operations of clients in chronological order. The same script gives the same operations. All random
//! values of an operation are derived from its number.

use crate::models::cache_server::{Job, JobId};
use crate::random::{RandomSource, Zipf};
use crate::script::{Fault, Incident, Script};
use std::f64::consts::TAU;
use std::time::Duration;

/// An operation of a client. It consists of one request or, with retries, of several.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The number of the operation, from 0.
    pub number: u64,
    /// The time at which the first request is sent, from the start of the run.
    pub at: Duration,
    /// The index of the class in the script.
    pub class: usize,
    /// The popularity rank of the key. Rank 0 is the most popular.
    pub key_rank: u32,
    /// The zone of the client.
    pub zone: usize,
    /// The source of all random values of the operation.
    pub random: RandomSource,
}

impl Operation {
    /// Returns the source of all random values of one request of the operation. `ordinal` 0 is the first
    /// request.
    pub fn request_random(&self, ordinal: u32) -> RandomSource {
        self.random.derive(100 + u64::from(ordinal))
    }

    /// Returns the key that nodes and cache servers use for the operation's entry.
    pub fn key(&self) -> u64 {
        key_of_rank(self.key_rank)
    }
}

/// Returns the key that nodes and cache servers use for the entry of this popularity rank.
pub fn key_of_rank(rank: u32) -> u64 {
    RandomSource::new(0x6b65_7973).derive(u64::from(rank)).bits()
}

/// Returns the job that an attempt for an operation creates at its cache server. `random` is the attempt's
/// own source.
pub fn job(
    script: &Script,
    operation: &Operation,
    random: RandomSource,
    id: JobId,
    new_connection: bool,
) -> Job {
    let class = &script.classes[operation.class];
    Job {
        id,
        key: operation.key(),
        initial_rank: None,
        work: class.mean_work.mul_f64(random.derive(1).log_normal(class.work_variation)),
        write: class.write,
        handshake: if new_connection { script.network.handshake_work } else { Duration::ZERO },
        random,
    }
}

/// Iterates over all operations of a script in chronological order.
#[derive(Debug)]
pub struct Workload<'a> {
    script: &'a Script,
    popularity: Zipf,
    random: RandomSource,
    next_number: u64,
    /// The time of the last operation, in seconds.
    now: f64,
}

impl<'a> Workload<'a> {
    /// Creates an iterator that starts with the first operation of the script.
    pub fn new(script: &'a Script) -> Self {
        Self {
            script,
            popularity: Zipf::new(script.load.keys, script.load.zipf_exponent),
            random: RandomSource::new(script.seed).derive(0x6173_6b73),
            next_number: 0,
            now: 0.0,
        }
    }

    /// Returns the rate at this time, in operations per second.
    fn rate(&self, at: f64) -> f64 {
        let load = &self.script.load;
        let wave = 1.0 + load.swing * (TAU * at / load.swing_period.as_secs_f64()).sin();
        let surges = active_incidents(self.script, at).filter_map(|incident| match incident.fault {
            Fault::Surge { factor } => Some(factor),
            _ => None,
        });
        load.rate * wave * surges.product::<f64>()
    }

    fn choose_class(&self, random: RandomSource) -> usize {
        let classes = &self.script.classes;
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut remaining = random.uniform() * total;
        let class = classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        class.unwrap_or(classes.len() - 1)
    }

    fn choose_zone(&self, random: RandomSource) -> usize {
        let zones = self.script.zones.len();
        let first = self.script.load.first_zone_share;
        let zone = match random.uniform() {
            _ if zones == 1 => 0,
            position if position < first => 0,
            position => 1 + ((position - first) / (1.0 - first) * (zones - 1) as f64) as usize,
        };
        zone.min(zones - 1)
    }

    fn choose_key_rank(&self, at: f64, random: RandomSource) -> u32 {
        for (i, incident) in active_incidents(self.script, at).enumerate() {
            if let Fault::HotKeys { keys, share } = incident.fault {
                let random = random.derive(i as u64);
                if random.derive(0).uniform() < share {
                    return self.choose_hot_key_rank(incident, keys, random.derive(1));
                }
            }
        }
        self.popularity.rank(random.derive(u64::MAX))
    }

    /// Returns a random one of an incident's hot keys. Outside the incident, these keys have a medium
    /// popularity.
    fn choose_hot_key_rank(&self, incident: &Incident, keys: u32, random: RandomSource) -> u32 {
        let incident_random = RandomSource::new(self.script.seed).derive(incident.at.as_micros() as u64);
        let start = incident_random.uniform() / 2.0 + 0.25;
        let first = (start * f64::from(self.script.load.keys)) as u32;
        let hot = first + (random.uniform() * f64::from(keys)) as u32;
        hot.min(self.script.load.keys - 1)
    }
}

/// Returns the incidents that are active at this time, which is in seconds from the start of the run.
fn active_incidents(script: &Script, at: f64) -> impl Iterator<Item = &Incident> {
    let is_active = move |incident: &&Incident| {
        (incident.at.as_secs_f64()..(incident.at + incident.duration).as_secs_f64()).contains(&at)
    };
    script.incidents.iter().filter(is_active)
}

impl Iterator for Workload<'_> {
    type Item = Operation;

    fn next(&mut self) -> Option<Operation> {
        let random = self.random.derive(self.next_number);
        self.now += random.derive(1).exponential() / self.rate(self.now);
        if self.now >= self.script.length.as_secs_f64() {
            return None;
        }
        let operation = Operation {
            number: self.next_number,
            at: Duration::from_secs_f64(self.now),
            class: self.choose_class(random.derive(2)),
            key_rank: self.choose_key_rank(self.now, random.derive(4)),
            zone: self.choose_zone(random.derive(3)),
            random,
        };
        self.next_number += 1;
        Some(operation)
    }
}
