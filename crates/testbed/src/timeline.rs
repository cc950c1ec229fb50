//! A script's incidents as single changes, each at its time: pure, so that every player plays the same ones.
//!
//! Cache servers are named by their seat, 0 up to their count: a successor sits where the one it replaces sat. An
//! incident picks its seats by draws of its own, so that adding one to a script moves none of the others. Where several
//! strike one seat together, what holds is worked out here: the end of one is not the end of the others.

use crate::draw::Draw;
use crate::fleet;
use crate::script::{Script, Trouble};
use std::collections::BTreeMap;
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
    /// The cache server stands still for this time.
    Pause {
        /// Which.
        seat: usize,
        /// How long.
        length: Duration,
    },
    /// From now on this holds in the seat, whoever sits there.
    Condition {
        /// Where.
        seat: usize,
        /// What.
        condition: Condition,
    },
    /// What lies between the nodes and the cache server forgets the connections that there are: nothing passes on them
    /// any more, and neither end is told.
    Forget {
        /// Which.
        seat: usize,
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
    /// Another process takes a node's place, and what it knows.
    UpgradeNode {
        /// Which.
        node: usize,
    },
    /// A node's configuration changes, and it is told to read it again.
    ReloadNode {
        /// Which.
        node: usize,
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
    /// This part of discovery's answers breaks off or can't be read.
    DiscoveryBreaks {
        /// Which part.
        rate: f64,
    },
}

/// What incidents do to the cache server in a seat, and to the network before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Messages pass at all.
    pub reachable: bool,
    /// This part of its requests fails, beside the ordinary part.
    pub errors: f64,
    /// Each message takes so much longer.
    pub delay: Duration,
    /// This part of the packets is lost, and sent again.
    pub loss: f64,
    /// This part of its answers breaks off half-way: the connection is reset.
    pub resets: f64,
}

impl Default for Condition {
    fn default() -> Self {
        Self { reachable: true, errors: 0.0, delay: Duration::ZERO, loss: 0.0, resets: 0.0 }
    }
}

impl Condition {
    /// Both hold at once.
    fn and(self, other: Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            reachable: self.reachable && other.reachable,
            errors: either(self.errors, other.errors),
            delay: self.delay + other.delay,
            loss: either(self.loss, other.loss),
            resets: either(self.resets, other.resets),
        }
    }
}

/// What an incident does by itself, before others are looked at.
#[derive(Clone, Debug)]
enum Step {
    /// It takes the seat's cache server out of service for good, or puts a successor in its place.
    Retire {
        seat: usize,
        for_good: bool,
    },
    /// The process that it retired ends.
    End {
        seat: usize,
    },
    /// The successor starts.
    Succeed {
        seat: usize,
        same_address: bool,
    },
    Die {
        seat: usize,
    },
    /// What died is back.
    Revive {
        seat: usize,
    },
    Begin {
        seat: usize,
        condition: Condition,
    },
    Cease {
        seat: usize,
    },
    SlowOrigin {
        factor: f64,
    },
    OriginAgain,
    DiscoveryAway,
    DiscoveryAgain,
    DiscoveryBreaks {
        rate: f64,
    },
    DiscoveryWhole,
    /// It touches nothing that another could hold back.
    Plain(Change),
}

/// All changes, in the order of time; those of the same time in the order of the script.
pub fn changes(script: &Script) -> Vec<(Duration, Change)> {
    let mut all = steps(script);
    // Stable: what the script has first comes first.
    all.sort_by_key(|(at, _, _)| *at);
    let mut together = Together::default();
    let mut changes = Vec::new();
    for (at, incident, step) in all {
        changes.extend(together.take_in(incident, step).map(|change| (at, change)));
    }
    changes
}

/// What the incidents that last hold, by number of the incident.
#[derive(Default)]
struct Together {
    seats: BTreeMap<usize, Seat>,
    origin: BTreeMap<usize, f64>,
    discovery: BTreeMap<usize, ()>,
    breaks: BTreeMap<usize, f64>,
}

#[derive(Default)]
struct Seat {
    conditions: BTreeMap<usize, Condition>,
    dead: BTreeMap<usize, ()>,
    /// The incident that retires its cache server just now.
    retiring: Option<usize>,
    /// Nobody comes after.
    gone: bool,
}

impl Together {
    fn take_in(&mut self, incident: usize, step: Step) -> Option<Change> {
        match step {
            Step::Plain(change) => Some(change),
            Step::Retire { seat, for_good } => {
                let state = self.seats.entry(seat).or_default();
                let retired_already = state.gone || state.retiring.is_some();
                state.gone |= for_good;
                if retired_already {
                    return None;
                }
                state.retiring = Some(incident);
                Some(Change::Drain { seat })
            }
            Step::End { seat } => {
                let state = self.seats.entry(seat).or_default();
                (state.retiring == Some(incident)).then_some(Change::Stop { seat })
            }
            Step::Succeed { seat, same_address } => {
                let state = self.seats.entry(seat).or_default();
                if state.retiring != Some(incident) {
                    return None;
                }
                state.retiring = None;
                // A crash that lasts is one of the box that was replaced.
                state.dead.clear();
                (!state.gone).then_some(Change::Start { seat, same_id: false, same_address })
            }
            Step::Die { seat } => {
                self.seats.entry(seat).or_default().dead.insert(incident, ());
                Some(Change::Stop { seat })
            }
            Step::Revive { seat } => {
                let state = self.seats.entry(seat).or_default();
                let dead = state.dead.remove(&incident).is_some();
                let last = dead && state.dead.is_empty() && !state.gone && state.retiring.is_none();
                last.then_some(Change::Start { seat, same_id: true, same_address: true })
            }
            Step::Begin { seat, condition } => {
                self.seats.entry(seat).or_default().conditions.insert(incident, condition);
                Some(self.condition(seat))
            }
            Step::Cease { seat } => {
                self.seats.entry(seat).or_default().conditions.remove(&incident);
                Some(self.condition(seat))
            }
            Step::SlowOrigin { factor } => {
                self.origin.insert(incident, factor);
                Some(self.origin())
            }
            Step::OriginAgain => {
                self.origin.remove(&incident);
                Some(self.origin())
            }
            Step::DiscoveryAway => {
                self.discovery.insert(incident, ());
                (self.discovery.len() == 1).then_some(Change::Discovery { up: false })
            }
            Step::DiscoveryAgain => {
                self.discovery.remove(&incident);
                self.discovery.is_empty().then_some(Change::Discovery { up: true })
            }
            Step::DiscoveryBreaks { rate } => {
                self.breaks.insert(incident, rate);
                Some(self.breaks())
            }
            Step::DiscoveryWhole => {
                self.breaks.remove(&incident);
                Some(self.breaks())
            }
        }
    }

    fn condition(&self, seat: usize) -> Change {
        let all = self.seats.get(&seat).into_iter().flat_map(|state| state.conditions.values());
        let condition = all.fold(Condition::default(), |together, condition| together.and(*condition));
        Change::Condition { seat, condition }
    }

    fn breaks(&self) -> Change {
        let whole: f64 = self.breaks.values().map(|rate| 1.0 - rate).product();
        Change::DiscoveryBreaks { rate: 1.0 - whole }
    }

    fn origin(&self) -> Change {
        Change::Origin { factor: self.origin.values().product() }
    }
}

/// What each incident does by itself, with its number.
fn steps(script: &Script) -> Vec<(Duration, usize, Step)> {
    let (seats, nodes) = (fleet::seats(script), script.nodes as usize);
    let mut all = Vec::new();
    for (i, incident) in script.incidents.iter().enumerate() {
        let draw = Draw::new(script.seed).on(0x7469_6d65).on(i as u64);
        let (at, over, end) = (incident.at, incident.over, incident.at + incident.over);
        // Nodes and seats are dealt out over the zones alike.
        let here = |of: usize| {
            (0..of).filter(|i| incident.zone.is_none_or(|zone| i % script.zones.len() == zone)).collect()
        };
        let pick = |of: usize, share: f64| picked(draw, here(of), share);
        let mut add = |at: Duration, step: Step| all.push((at, i, step));
        let mut hold = |share: f64, condition: Condition| {
            for seat in pick(seats, share) {
                add(at, Step::Begin { seat, condition });
                add(end, Step::Cease { seat });
            }
        };
        let usual = Condition::default();
        match incident.what {
            Trouble::Vanish { share } => hold(share, Condition { reachable: false, ..usual }),
            Trouble::Errors { share, rate } => hold(share, Condition { errors: rate, ..usual }),
            Trouble::Delay { share, extra } => hold(share, Condition { delay: extra, ..usual }),
            Trouble::Loss { share, rate } => hold(share, Condition { loss: rate, ..usual }),
            Trouble::Resets { share, rate } => hold(share, Condition { resets: rate, ..usual }),
            Trouble::HalfOpen { share } => {
                let struck = pick(seats, share);
                for (n, &seat) in struck.iter().enumerate() {
                    let at = at + over.mul_f64(n as f64 / struck.len() as f64);
                    add(at, Step::Plain(Change::Forget { seat }));
                }
            }
            Trouble::Shrink { share, drain } => {
                let going = pick(seats, share);
                for (n, &seat) in going.iter().enumerate() {
                    let at = at + over.mul_f64(n as f64 / going.len() as f64);
                    add(at, Step::Retire { seat, for_good: true });
                    add(at + drain, Step::End { seat });
                }
            }
            Trouble::Deploy { share, batch, drain, same_address } => {
                for (at, batch) in batches(pick(seats, share), seats, batch, at, over) {
                    for seat in batch {
                        add(at, Step::Retire { seat, for_good: false });
                        add(at + drain, Step::End { seat });
                        add(at + drain, Step::Succeed { seat, same_address });
                    }
                }
            }
            Trouble::RestartNodes { share, batch, down, killed } => {
                for (at, batch) in batches(pick(nodes, share), nodes, batch, at, over) {
                    for node in batch {
                        add(at, Step::Plain(Change::RestartNode { node, killed, down }));
                    }
                }
            }
            Trouble::Upgrade { share, batch } => {
                for (at, batch) in batches(pick(nodes, share), nodes, batch, at, over) {
                    for node in batch {
                        add(at, Step::Plain(Change::UpgradeNode { node }));
                    }
                }
            }
            Trouble::Reload { share, times } => {
                for node in pick(nodes, share) {
                    for turn in 0..times {
                        let at = at + over.mul_f64(f64::from(turn) / f64::from(times));
                        add(at, Step::Plain(Change::ReloadNode { node }));
                    }
                }
            }
            Trouble::Crash { share } => {
                for seat in pick(seats, share) {
                    add(at, Step::Die { seat });
                    add(end, Step::Revive { seat });
                }
            }
            Trouble::Pause { share } => {
                for seat in pick(seats, share) {
                    add(at, Step::Plain(Change::Pause { seat, length: over }));
                }
            }
            Trouble::SlowOrigin { factor } => {
                add(at, Step::SlowOrigin { factor });
                add(end, Step::OriginAgain);
            }
            Trouble::DiscoveryAway => {
                add(at, Step::DiscoveryAway);
                add(end, Step::DiscoveryAgain);
            }
            Trouble::DiscoveryBreaks { rate } => {
                add(at, Step::DiscoveryBreaks { rate });
                add(end, Step::DiscoveryWhole);
            }
            // These are the clients' doing.
            Trouble::HotKeys { .. } | Trouble::Surge { .. } => {}
        }
    }
    all
}

/// This share of them, rounded up, in an order of chance.
fn picked(draw: Draw, mut all: Vec<usize>, share: f64) -> Vec<usize> {
    let most = (all.len() as f64 * share).ceil() as usize;
    all.sort_by_key(|&i| (draw.on(i as u64).bits(), i));
    all.truncate(most);
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
        Incident { at: Duration::from_secs(at), over: Duration::from_secs(over), zone: None, what }
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

    /// What happens to one seat, in seconds and words, under incidents that strike every seat.
    fn seat_0(incidents: Vec<Incident>) -> Vec<(u64, String)> {
        let all = changes(&script(incidents));
        let of_seat_0 = all.into_iter().filter_map(|(at, change)| {
            let words = match change {
                Change::Drain { seat: 0 } => "drain".into(),
                Change::Stop { seat: 0 } => "stop".into(),
                Change::Start { seat: 0, same_id, .. } => if same_id { "again" } else { "successor" }.into(),
                Change::Condition { seat: 0, condition } => {
                    let Condition { reachable, errors, delay, loss, resets } = condition;
                    format!("{reachable} {errors:.2} {} {loss:.2} {resets:.2}", delay.as_millis())
                }
                _ => return None,
            };
            Some((at.as_secs(), words))
        });
        of_seat_0.collect()
    }

    fn words(all: &[(u64, &str)]) -> Vec<(u64, String)> {
        all.iter().map(|(at, words)| (*at, (*words).to_owned())).collect()
    }

    // Guards against an incident whose end lifts what another, which lasts, still does to the same box.
    #[test]
    fn the_end_of_one_incident_is_not_the_end_of_others_that_strike_the_same_box() {
        let errors = |rate| Trouble::Errors { share: 1.0, rate };
        let extra = Duration::from_millis(10);
        let found = seat_0(vec![
            incident(1, 6, errors(0.5)),
            incident(2, 2, errors(0.5)),
            incident(3, 2, Trouble::Vanish { share: 1.0 }),
            incident(4, 4, Trouble::Vanish { share: 1.0 }),
            incident(10, 3, Trouble::Delay { share: 1.0, extra }),
            incident(11, 1, Trouble::Delay { share: 1.0, extra }),
            incident(15, 3, Trouble::Vanish { share: 1.0 }),
            incident(16, 1, errors(0.5)),
            incident(20, 3, Trouble::Loss { share: 1.0, rate: 0.1 }),
            incident(21, 1, Trouble::Resets { share: 1.0, rate: 0.2 }),
        ]);
        let expected = [
            (1, "true 0.50 0 0.00 0.00"),
            (2, "true 0.75 0 0.00 0.00"),
            (3, "false 0.75 0 0.00 0.00"),
            (4, "false 0.50 0 0.00 0.00"),
            (4, "false 0.50 0 0.00 0.00"),
            (5, "false 0.50 0 0.00 0.00"),
            (7, "false 0.00 0 0.00 0.00"),
            (8, "true 0.00 0 0.00 0.00"),
            (10, "true 0.00 10 0.00 0.00"),
            (11, "true 0.00 20 0.00 0.00"),
            (12, "true 0.00 10 0.00 0.00"),
            (13, "true 0.00 0 0.00 0.00"),
            (15, "false 0.00 0 0.00 0.00"),
            (16, "false 0.50 0 0.00 0.00"),
            (17, "false 0.00 0 0.00 0.00"),
            (18, "true 0.00 0 0.00 0.00"),
            (20, "true 0.00 0 0.10 0.00"),
            (21, "true 0.00 0 0.10 0.20"),
            (22, "true 0.00 0 0.10 0.00"),
            (23, "true 0.00 0 0.00 0.00"),
        ];
        assert_eq!(found, words(&expected));
    }

    #[test]
    fn what_two_crashes_killed_comes_back_with_the_second() {
        let crash = || Trouble::Crash { share: 1.0 };
        let found = seat_0(vec![incident(1, 5, crash()), incident(3, 8, crash())]);
        assert_eq!(found, words(&[(1, "stop"), (3, "stop"), (11, "again")]));
    }

    #[test]
    fn what_was_drained_for_good_does_not_come_back_with_the_end_of_a_crash_or_a_deploy() {
        let drain = Duration::from_secs(4);
        let shrink = || Trouble::Shrink { share: 1.0, drain };
        let deploy = || Trouble::Deploy { share: 1.0, batch: 1.0, drain, same_address: false };
        let crash = || Trouble::Crash { share: 1.0 };
        let dead = seat_0(vec![incident(1, 5, crash()), incident(3, 0, shrink())]);
        assert_eq!(dead, words(&[(1, "stop"), (3, "drain"), (7, "stop")]));
        let replaced = seat_0(vec![incident(1, 0, deploy()), incident(3, 0, shrink())]);
        assert_eq!(replaced, words(&[(1, "drain"), (5, "stop")]), "no successor");
        let crashed =
            seat_0(vec![incident(1, 0, deploy()), incident(3, 0, shrink()), incident(6, 2, crash())]);
        assert_eq!(crashed, words(&[(1, "drain"), (5, "stop"), (6, "stop")]), "nobody to revive");
    }

    // Guards against a second deploy that ends the successor of the first, which nobody has drained.
    #[test]
    fn a_box_that_is_being_replaced_is_not_replaced_again_meanwhile_and_nor_is_it_revived() {
        let drain = Duration::from_secs(4);
        let deploy = || Trouble::Deploy { share: 1.0, batch: 1.0, drain, same_address: false };
        let twice =
            seat_0(vec![incident(1, 0, deploy()), incident(3, 0, deploy()), incident(9, 0, deploy())]);
        let each = |at| [(at, "drain"), (at + 4, "stop"), (at + 4, "successor")];
        assert_eq!(twice, words(&[each(1), each(9)].concat()));
        let dead = seat_0(vec![incident(1, 6, Trouble::Crash { share: 1.0 }), incident(2, 0, deploy())]);
        assert_eq!(dead, words(&[(1, "stop"), (2, "drain"), (6, "stop"), (6, "successor")]));
    }

    #[test]
    fn origin_and_discovery_are_as_all_their_incidents_have_them() {
        let slow = |factor| Trouble::SlowOrigin { factor };
        let all = changes(&script(vec![
            incident(1, 6, slow(2.0)),
            incident(2, 2, slow(3.0)),
            incident(10, 6, Trouble::DiscoveryAway),
            incident(11, 8, Trouble::DiscoveryAway),
        ]));
        let all: Vec<_> = all.into_iter().map(|(at, change)| (at.as_secs(), change)).collect();
        let factor = |factor| Change::Origin { factor };
        let expected = [
            (1, factor(2.0)),
            (2, factor(6.0)),
            (4, factor(2.0)),
            (7, factor(1.0)),
            (10, Change::Discovery { up: false }),
            (19, Change::Discovery { up: true }),
        ];
        assert_eq!(all, expected);
    }

    #[test]
    fn an_incident_of_one_zone_strikes_all_of_that_zone_and_nothing_else() {
        let crash = Incident { zone: Some(1), ..incident(5, 5, Trouble::Crash { share: 1.0 }) };
        let killed = Trouble::RestartNodes { share: 1.0, batch: 1.0, down: Duration::ZERO, killed: true };
        let nodes = Incident { zone: Some(1), ..incident(6, 0, killed) };
        let script = script(vec![crash, nodes]);
        let (mut seats, mut hit) = (Vec::new(), Vec::new());
        for (_, change) in changes(&script) {
            match change {
                Change::Stop { seat } => seats.push(seat),
                Change::RestartNode { node, .. } => hit.push(node),
                _ => {}
            }
        }
        seats.sort_unstable();
        hit.sort_unstable();
        assert_eq!(seats, (0..20).filter(|seat| fleet::zone(&script, *seat) == 1).collect::<Vec<_>>());
        assert_eq!(hit, vec![1, 3, 5, 7, 9, 11]);
    }

    #[test]
    fn answers_of_discovery_that_break_off_add_up_and_end_one_by_one() {
        let breaks = |rate| Trouble::DiscoveryBreaks { rate };
        let all = changes(&script(vec![incident(1, 6, breaks(0.5)), incident(2, 2, breaks(0.5))]));
        let all: Vec<_> = all.into_iter().map(|(at, change)| (at.as_secs(), change)).collect();
        let rate = |rate| Change::DiscoveryBreaks { rate };
        assert_eq!(all, [(1, rate(0.5)), (2, rate(0.75)), (4, rate(0.5)), (7, rate(0.0))]);
    }

    #[test]
    fn a_switch_forgets_the_connections_of_its_boxes_one_after_the_other() {
        let all = changes(&script(vec![incident(5, 10, Trouble::HalfOpen { share: 0.5 })]));
        let times: Vec<_> = all.iter().map(|(at, _)| at.as_secs()).collect();
        assert_eq!(times, (5..15).collect::<Vec<_>>());
        assert!(all.iter().all(|(_, change)| matches!(change, Change::Forget { .. })));
    }
}
