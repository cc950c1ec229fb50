//! A script's incidents as single changes, each at its time: pure, so that every player plays the same ones.
//!
//! Cache servers are named by their seat, 0 up to their count: a successor sits where the one it replaces sat. An
//! incident picks its seats by draws of its own, so that adding one to a script moves none of the others.

use crate::draw::Draw;
use crate::script::{Script, Trouble};
use std::time::Duration;

/// One thing that happens to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Discovery is told that the cache server drains.
    Drain {
        /// Which.
        seat: usize,
    },
    /// The cache server's process ends.
    Stop {
        /// Which.
        seat: usize,
    },
    /// A cold process starts in the seat, if none runs there.
    Start {
        /// Where.
        seat: usize,
        /// Whether it is the old id, started anew, rather than a new id.
        same_id: bool,
        /// Whether it listens where the one before did.
        same_address: bool,
    },
    /// The cache server is cut off from the network, or back.
    Reach {
        /// Which.
        seat: usize,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// The cache server stands still for this time.
    Pause {
        /// Which.
        seat: usize,
        /// How long.
        length: Duration,
    },
    /// This part of the cache server's requests fails, beside the ordinary part; 0 ends it.
    Errors {
        /// Which.
        seat: usize,
        /// The part.
        rate: f64,
    },
    /// A node is told to stop, or killed, and starts again with its last list.
    RestartNode {
        /// Which.
        node: usize,
        /// Killed outright.
        killed: bool,
        /// From its end to its start.
        down: Duration,
    },
    /// The origin takes longer by this factor.
    Origin {
        /// The factor; 1 is usual.
        factor: f64,
    },
    /// Discovery answers, or does not.
    Discovery {
        /// Whether it does.
        up: bool,
    },
}

/// All changes, in the order of time; those of the same time in the order of the script.
pub fn changes(script: &Script) -> Vec<(Duration, Change)> {
    let seats = script.boxes.iter().map(|kind| kind.count as usize).sum::<usize>();
    let mut all = Vec::new();
    for (i, incident) in script.incidents.iter().enumerate() {
        let draw = Draw::new(script.seed).on(0x7469_6d65).on(i as u64);
        let (at, over, end) = (incident.at, incident.over, incident.at + incident.over);
        let pick = |of: usize, share: f64| picked(draw, of, share);
        let mut add = |at: Duration, change: Change| all.push((at, change));
        match incident.what {
            Trouble::Shrink { share, drain } => {
                let going = pick(seats, share);
                for (n, &seat) in going.iter().enumerate() {
                    let at = at + over.mul_f64(n as f64 / going.len() as f64);
                    add(at, Change::Drain { seat });
                    add(at + drain, Change::Stop { seat });
                }
            }
            Trouble::Deploy { share, batch, drain, same_address } => {
                for (at, batch) in batches(pick(seats, share), seats, batch, at, over) {
                    for seat in batch {
                        add(at, Change::Drain { seat });
                        add(at + drain, Change::Stop { seat });
                        add(at + drain, Change::Start { seat, same_id: false, same_address });
                    }
                }
            }
            Trouble::RestartNodes { share, batch, down, killed } => {
                let nodes = script.nodes as usize;
                for (at, batch) in batches(pick(nodes, share), nodes, batch, at, over) {
                    for node in batch {
                        add(at, Change::RestartNode { node, killed, down });
                    }
                }
            }
            Trouble::Crash { share } => {
                for seat in pick(seats, share) {
                    add(at, Change::Stop { seat });
                    add(end, Change::Start { seat, same_id: true, same_address: true });
                }
            }
            Trouble::Vanish { share } => {
                for seat in pick(seats, share) {
                    add(at, Change::Reach { seat, reachable: false });
                    add(end, Change::Reach { seat, reachable: true });
                }
            }
            Trouble::Pause { share } => {
                pick(seats, share).into_iter().for_each(|seat| add(at, Change::Pause { seat, length: over }));
            }
            Trouble::Errors { share, rate } => {
                for seat in pick(seats, share) {
                    add(at, Change::Errors { seat, rate });
                    add(end, Change::Errors { seat, rate: 0.0 });
                }
            }
            Trouble::SlowOrigin { factor } => {
                add(at, Change::Origin { factor });
                add(end, Change::Origin { factor: 1.0 });
            }
            Trouble::DiscoveryAway => {
                add(at, Change::Discovery { up: false });
                add(end, Change::Discovery { up: true });
            }
            // These are the clients' doing.
            Trouble::HotKeys { .. } | Trouble::Surge { .. } => {}
        }
    }
    // Stable: what the script has first comes first.
    all.sort_by_key(|(at, _)| *at);
    all
}

/// This share of so many, rounded up, in an order of chance.
fn picked(draw: Draw, of: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.sort_by_key(|&i| (draw.on(i as u64).bits(), i));
    all.truncate((of as f64 * share).ceil() as usize);
    all
}

/// Dealt into batches of at most this share of all, spread evenly over the time.
fn batches(
    picked: Vec<usize>,
    of: usize,
    batch: f64,
    at: Duration,
    over: Duration,
) -> Vec<(Duration, Vec<usize>)> {
    let size = ((of as f64 * batch).floor() as usize).max(1);
    let count = picked.len().div_ceil(size).max(1);
    let starts = (0..count).map(|n| at + over.mul_f64(n as f64 / count as f64));
    starts.zip(picked.chunks(size).map(<[usize]>::to_vec)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script::Incident;

    fn script(incidents: Vec<Incident>) -> Script {
        Script { incidents, ..Script::default() }
    }

    fn incident(at: u64, over: u64, what: Trouble) -> Incident {
        Incident { at: Duration::from_secs(at), over: Duration::from_secs(over), what }
    }

    #[test]
    fn a_deploy_replaces_its_share_in_batches_that_stay_within_theirs() {
        let drain = Duration::from_secs(2);
        let deploy = Trouble::Deploy { share: 0.99, batch: 0.19, drain, same_address: true };
        let all = changes(&script(vec![incident(5, 30, deploy)]));
        let drains: Vec<_> =
            all.iter().filter(|(_, change)| matches!(change, Change::Drain { .. })).collect();
        assert_eq!(drains.len(), 20, "99% of 20, rounded up");
        for (at, _) in &drains {
            assert!(drains.iter().filter(|(other, _)| other == at).count() <= 3, "19% of 20 at a time");
        }
        let starts = all.iter().filter(|(_, change)| matches!(change, Change::Start { same_id: false, .. }));
        assert_eq!(starts.count(), 20);
        assert!(all.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    }

    // Guards against a script in which one more incident changes which servers the others strike.
    #[test]
    fn an_incident_strikes_the_same_seats_whatever_stands_behind_it() {
        let crash = || incident(5, 10, Trouble::Crash { share: 0.25 });
        let alone = changes(&script(vec![crash()]));
        let both = changes(&script(vec![crash(), incident(5, 3, Trouble::Pause { share: 0.5 })]));
        let stops = |all: &[(Duration, Change)]| -> Vec<_> {
            all.iter().filter(|(_, change)| matches!(change, Change::Stop { .. })).cloned().collect()
        };
        assert_eq!(stops(&alone).len(), 5);
        assert_eq!(stops(&alone), stops(&both));
    }
}
