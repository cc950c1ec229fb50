//! The attempts of nodes, from the connection to the outcome.

use super::agenda::What;
use super::nodes::request_id;
use super::{Attempt, Ended, Kept, Play, Process, Try, ATTEMPTS, GUARD};
use crate::conduct;
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::{Answer, Fact};
use crate::world::Verdict as Offer;
use balancer_core::{
    AttemptOutcome, AttemptStatus, CacheResult, EndpointState, Event, LoadReport, ServerId, Timestamp,
};
use std::time::Duration;

impl Play<'_> {
    /// Begins an attempt.
    pub(super) fn send(
        &mut self,
        node: usize,
        request: usize,
        server: ServerId,
        timeout: Duration,
    ) -> Option<Event> {
        let host = self.by_id.get(&server).copied()?;
        let (attempt, process) = (self.tries[request].attempts.len(), self.hosts[host].process);
        if self.guard.keeps_back && self.tries[request].answered {
            // The request was over when it was sent: nothing more goes out for it.
            let (sent, none) = (self.now, None);
            let never = Attempt {
                host,
                process: none,
                sent,
                made: sent,
                fresh: false,
                closed: false,
                written: false,
                ended: true,
                given_up: true,
            };
            self.tries[request].attempts.push(never);
            return Some(self.outcome(request, attempt, Ended::without_answer(AttemptStatus::NotSent)));
        }
        let kept = self.kept(node, host, request, attempt);
        let met = self.met(host);
        self.count().attempt(met);
        self.count().connects += u64::from(kept.is_none());
        self.tries[request].attempts.push(Attempt {
            host,
            process: kept.as_ref().map(|(kept, _)| kept.process),
            sent: self.now,
            made: kept.as_ref().map_or(self.now, |(kept, _)| kept.made),
            fresh: kept.is_none(),
            closed: kept.as_ref().is_some_and(|(_, closed)| *closed),
            written: false,
            ended: false,
            given_up: false,
        });
        let until = (self.now + timeout).min(self.tries[request].until + GUARD);
        self.agenda.put(until, What::Timeout { request, attempt });
        if kept.is_some() {
            self.write(request, attempt);
            return None;
        }
        let (seat, draw) = (self.hosts[host].seat, self.try_draw(request).on(8).on(attempt as u64));
        let (from, to) = (self.nodes[node].zone, fleet::zone(self.script, seat));
        let network = &self.script.network;
        let trip = conduct::way(network, from, to, draw) * 2;
        let condition = self.conditions[seat];
        let handshake = conduct::handshake(network, &condition, trip, draw);
        let alive = process.filter(|&process| self.processes[process].alive);
        let full = alive.is_none_or(|process| self.is_full(host, process));
        if !condition.reachable || handshake > network.connect_timeout {
            let at = self.now + network.connect_timeout;
            self.count().connects_failed += 1;
            self.fail_later(at, request, attempt);
        } else if full {
            self.count().connects_failed += 1;
            self.fail_later(self.now + trip, request, attempt);
        } else {
            self.tries[request].attempts[attempt].process = alive;
            alive.into_iter().for_each(|process| self.processes[process].connections += 1);
            self.tries[request].attempts[attempt].made = self.now + handshake;
            self.agenda.put(self.now + handshake, What::Write { request, attempt });
        }
        None
    }

    /// A message's way between a node and a cache server, as things are now.
    fn way(&self, node: usize, host: usize, draw: Draw) -> Duration {
        let seat = self.hosts[host].seat;
        let (from, to) = (self.nodes[node].zone, fleet::zone(self.script, seat));
        conduct::way(&self.script.network, from, to, draw) + conduct::held_up(&self.conditions[seat], draw)
    }

    /// Whether what is sent on the attempt's connection comes out at the other end.
    fn passes(&self, request: usize, attempt: usize) -> bool {
        let Attempt { host, made, .. } = self.tries[request].attempts[attempt];
        let seat = self.hosts[host].seat;
        self.conditions[seat].reachable && self.forgotten[seat].is_none_or(|at| made > at)
    }

    /// Whether a process has no place for another connection. Those that have stood idle for too long are let go now:
    /// nobody looks at them before their places are wanted.
    fn is_full(&mut self, host: usize, process: usize) -> bool {
        let Process { server, connections, .. } = &self.processes[process];
        let (most, open) = (server.most_connections(), *connections);
        if open < most {
            return false;
        }
        let network = &self.script.network;
        let closes = fleet::kind(self.script, self.hosts[host].seat).idle.unwrap_or(network.idle);
        // The word of it has reached every node by then.
        let heard = closes + network.same_zone.max(network.cross_zone).mul_f64(1.0 + network.jitter);
        let limit = heard.min(network.idle / 2);
        let (now, mut closed) = (self.now, 0);
        for pool in self.nodes.iter_mut().filter_map(|node| node.pool.get_mut(&host)) {
            let before = pool.len();
            pool.retain(|kept| kept.process != process || now.since(kept.since) < limit);
            closed += (before - pool.len()) as u32;
        }
        self.processes[process].connections -= closed;
        open - closed >= most
    }

    /// The idle connection that an attempt takes, and whether its other end has been closed on the quiet: the word of
    /// that is still on its way to the node.
    fn kept(&mut self, node: usize, host: usize, request: usize, attempt: usize) -> Option<(Kept, bool)> {
        let seat = self.hosts[host].seat;
        let own_limit = self.script.network.idle / 2;
        let limit = fleet::kind(self.script, seat).idle.unwrap_or(self.script.network.idle);
        let way = self.way(node, host, self.try_draw(request).on(9).on(attempt as u64));
        while let Some(kept) = self.nodes[node].pool.get_mut(&host).and_then(Vec::pop) {
            let idle = self.now.since(kept.since);
            let heard = idle >= limit + way && self.conditions[seat].reachable;
            if Some(kept.process) == self.hosts[host].process && idle < own_limit && !heard {
                return Some((kept, idle + way >= limit));
            }
            self.processes[kept.process].connections -= 1;
        }
        None
    }

    pub(super) fn fail_later(&mut self, at: Timestamp, request: usize, attempt: usize) {
        let came = Ended::without_answer(AttemptStatus::ConnectError);
        self.agenda.put(at, What::Back { request, attempt, came });
    }

    /// The first byte of an attempt goes out, unless the news that came meanwhile forbids it.
    pub(super) fn write(&mut self, request: usize, attempt: usize) {
        let Try { node, ref attempts, .. } = self.tries[request];
        let Attempt { host, process, ended, given_up, .. } = attempts[attempt];
        if ended || given_up || !self.lives(request) {
            return;
        }
        let ready = self.nodes[node].list.get(&host).map(|entry| entry.state) == Some(EndpointState::Ready);
        let alive = process.is_some_and(|process| self.processes[process].alive);
        if !alive || self.guard.keeps_back && !ready {
            self.give_up(request, attempt);
            return self.end_attempt(request, attempt, Ended::without_answer(AttemptStatus::ConnectError));
        }
        self.tries[request].attempts[attempt].written = true;
        let server = self.hosts[host].number;
        self.ledger.note(Fact::Sent { request: request as u64, server, at: self.now });
        let way = self.way(node, host, self.try_draw(request).on(9).on(attempt as u64));
        self.agenda.put(self.now + way, What::Reach { request, attempt });
    }

    pub(super) fn reach(&mut self, request: usize, attempt: usize) {
        let Attempt { host, process, fresh, closed, .. } = self.tries[request].attempts[attempt];
        let Some(process) = process else { return };
        if !self.passes(request, attempt) {
            return;
        }
        if closed || !self.processes[process].alive {
            return self.reset(request, attempt);
        }
        let (ask, draw) = (&self.asks[self.tries[request].ask].0, self.try_draw(request));
        let id = request as u64 * ATTEMPTS + attempt as u64;
        let mut job = conduct::job(self.script, ask, draw.on(10).on(attempt as u64), id, fresh);
        let rank = ask.key;
        job.initial_rank = self.initial_rank(host, process, job.key, rank);
        match self.processes[process].server.offer(self.now, job) {
            Offer::Taken => self.look(process),
            Offer::Declined => self.send_back(request, attempt, AttemptStatus::QueueFull, false),
            Offer::Fell => {
                let server = self.hosts[host].number;
                self.ledger.note(Fact::Fell { server, at: self.now });
                self.reset(request, attempt);
                self.stop(process);
            }
        }
    }

    pub(super) fn reset(&mut self, request: usize, attempt: usize) {
        self.send_back(request, attempt, AttemptStatus::Reset, false);
    }

    pub(super) fn send_back(&mut self, request: usize, attempt: usize, status: AttemptStatus, hit: bool) {
        if !self.passes(request, attempt) {
            return;
        }
        let Attempt { host, process, .. } = self.tries[request].attempts[attempt];
        let draw = self.try_draw(request).on(11).on(attempt as u64);
        let way = self.way(self.tries[request].node, host, draw);
        let breaks_off = conduct::breaks_off(&self.conditions[self.hosts[host].seat], draw);
        let status = if breaks_off { AttemptStatus::Reset } else { status };
        let answered = !matches!(status, AttemptStatus::Reset | AttemptStatus::ConnectError);
        let load = match process.filter(|_| answered) {
            Some(process) => {
                let report = self.processes[process].server.report(self.now);
                let waiting = Some(report.waiting as f64);
                LoadReport {
                    service_time: Some(report.service_time),
                    cpu_utilization: None,
                    queue_length: waiting,
                }
            }
            None => LoadReport::default(),
        };
        self.agenda.put(self.now + way, What::Back { request, attempt, came: Ended { status, hit, load } });
    }

    pub(super) fn back(&mut self, request: usize, attempt: usize, came: Ended) {
        let Attempt { host, process, made, ended, given_up, .. } = self.tries[request].attempts[attempt];
        if ended || given_up || !self.lives(request) {
            return;
        }
        if matches!(came.status, AttemptStatus::Ok | AttemptStatus::Failed | AttemptStatus::QueueFull) {
            // The connection is good for another request, unless the news forbids that.
            let node = self.tries[request].node;
            let list = &self.nodes[node].list;
            let ready = list.get(&host).map(|entry| entry.state) == Some(EndpointState::Ready);
            match process {
                Some(process) if ready && self.processes[process].alive => {
                    let kept = Kept { process, made, since: self.now };
                    self.nodes[node].pool.entry(host).or_default().push(kept);
                }
                _ => self.give_up(request, attempt),
            }
        } else {
            self.give_up(request, attempt);
        }
        self.end_attempt(request, attempt, came);
    }

    /// The node closes the attempt's connection.
    pub(super) fn give_up(&mut self, request: usize, attempt: usize) {
        let attempt = &mut self.tries[request].attempts[attempt];
        if !std::mem::replace(&mut attempt.given_up, true) {
            if let Some(process) = attempt.process {
                self.processes[process].connections -= 1;
            }
        }
    }

    pub(super) fn end_attempt(&mut self, request: usize, attempt: usize, came: Ended) {
        if self.lives(request) {
            let node = self.tries[request].node;
            let outcome = self.outcome(request, attempt, came);
            self.decide(node, outcome);
        }
    }

    pub(super) fn outcome(&mut self, request: usize, attempt: usize, came: Ended) -> Event {
        let Ended { status, hit, load } = came;
        let Attempt { host, sent, .. } = self.tries[request].attempts[attempt];
        self.tries[request].attempts[attempt].ended = true;
        if status == AttemptStatus::Ok && !self.tries[request].answered {
            self.answer(request, Answer::Served, Duration::ZERO);
        }
        self.tidy(request);
        let note = if hit { CacheResult::Hit } else { CacheResult::Miss };
        Event::AttemptEnded(AttemptOutcome {
            id: request_id(request),
            attempt: attempt as u32,
            server: self.hosts[host].id.clone(),
            status,
            cache_result: (self.script.reports.tell_misses && status == AttemptStatus::Ok).then_some(note),
            elapsed: self.now.since(sent),
            request_finished: self.tries[request].answered,
            load,
        })
    }
}
