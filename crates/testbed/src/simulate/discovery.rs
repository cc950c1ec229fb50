//! Discovery in virtual time.

use super::agenda::What;
use super::{Listed, Node, Play, CALL_ENDS};
use crate::ledger::Fact;
use balancer_core::discovery::{backoff, PollKind};
use balancer_core::{EndpointState, EndpointUpdate, Event, Timestamp};
use std::time::Duration;

impl Play<'_> {
    pub(super) fn notice_later(&mut self, host: usize, state: EndpointState, started: Option<Timestamp>) {
        let at = self.now + self.script.discovery.notice;
        self.agenda.put(at, What::Notice { host, state, started });
    }

    pub(super) fn notice(&mut self, host: usize, state: EndpointState, started: Option<Timestamp>) {
        self.discovery_seq += 1;
        self.hosts[host].listed = Listed { state, started, version: self.discovery_seq };
        if self.discovery_up {
            for node in 0..self.nodes.len() {
                if std::mem::take(&mut self.nodes[node].watching) {
                    self.deliver(node, 1.0);
                }
            }
        }
    }

    pub(super) fn discovery(&mut self, up: bool) {
        self.discovery_up = up;
        if !up {
            for node in 0..self.nodes.len() {
                let Node { life, up, .. } = self.nodes[node];
                if up && std::mem::take(&mut self.nodes[node].watching) {
                    self.agenda.put(self.now + CALL_ENDS, What::Told { node, life, ok: false });
                }
            }
        }
    }

    /// A node is to ask; after calls that failed, it waits first, and not as long as others that lost the same.
    pub(super) fn follow(&mut self, node: usize) {
        let Node { life, failures, seq, .. } = self.nodes[node];
        if failures == 0 {
            return self.call(node);
        }
        let draw = self.draw.on(0x6261).on(node as u64).on(u64::from(life)).on(u64::from(failures));
        let next = if seq.is_some() { PollKind::Watch } else { PollKind::Snapshot };
        let wait = backoff(self.script.nodes, failures, next, draw.unit());
        self.agenda.put(self.now + wait, What::Call { node, life });
    }

    /// A node asks: for the whole list, or for what is newer than it has.
    pub(super) fn call(&mut self, node: usize) {
        let Node { life, seq, calling, watching, .. } = self.nodes[node];
        if calling || watching {
            return;
        }
        self.nodes[node].calling = true;
        self.count().list_calls += 1;
        if !self.discovery_up {
            return self.agenda.put(self.now + CALL_ENDS, What::Told { node, life, ok: false });
        }
        match seq {
            Some(seq) if seq >= self.discovery_seq => {
                // It waits, at the cost of the call.
                self.charge(self.script.discovery.call_lines);
                let state = &mut self.nodes[node];
                (state.calling, state.watching) = (false, true);
            }
            Some(_) => self.deliver(node, self.script.discovery.call_lines + 1.0),
            None => self.deliver(node, self.script.discovery.call_lines + self.hosts.len() as f64),
        }
    }

    pub(super) fn lines(&self, lines: f64) -> Duration {
        Duration::from_secs_f64(lines / self.script.discovery.lines_per_s)
    }

    /// Puts an answer of so many lines behind those that discovery has to send already.
    pub(super) fn deliver(&mut self, node: usize, lines: f64) {
        let life = self.nodes[node].life;
        self.nodes[node].calling = true;
        let (at, timeout) =
            (self.discovery_free.max(self.now) + self.lines(lines), self.script.discovery.timeout);
        if at.since(self.now) > timeout {
            // It never has its turn, and costs nothing.
            return self.agenda.put(self.now + timeout, What::Told { node, life, ok: false });
        }
        self.charge(lines);
        self.told += 1;
        let ok = self.draw.on(0x6c69_7374).on(self.told).unit() >= self.breaks;
        self.agenda.put(at, What::Told { node, life, ok });
    }

    /// Takes so many lines of what discovery can send.
    fn charge(&mut self, lines: f64) {
        self.discovery_free = self.discovery_free.max(self.now) + self.lines(lines);
        self.count().list_lines += lines as u64;
    }

    pub(super) fn told(&mut self, node: usize, life: u32, ok: bool) {
        if !self.nodes[node].up || self.nodes[node].life != life {
            return;
        }
        self.nodes[node].calling = false;
        if !ok || !self.discovery_up {
            self.nodes[node].failures += 1;
            self.count().list_calls_failed += 1;
            return self.decide(node, Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        let seq = self.nodes[node].seq.replace(self.discovery_seq);
        let newer = |host: &usize| seq.is_none_or(|seq| self.hosts[*host].listed.version > seq);
        let listed: Vec<usize> = (0..self.hosts.len()).filter(newer).collect();
        let here = |host: usize| self.hosts[host].listed.state != EndpointState::Removed;
        let entries: Vec<_> = listed
            .iter()
            .filter(|&&host| seq.is_some() || here(host))
            .map(|&host| self.entry(host))
            .collect();
        for host in listed {
            let entry = self.entry(host);
            let stops = entry.state != EndpointState::Ready;
            let known = self.nodes[node].list.contains_key(&host);
            if entry.state == EndpointState::Removed {
                self.nodes[node].list.remove(&host);
            } else {
                self.nodes[node].list.insert(host, entry);
            }
            if stops {
                self.close_idle(node, host);
            }
            if known || !stops {
                let server = self.hosts[host].number;
                self.ledger.note(Fact::Told { node, server, at: self.now, stops });
            }
        }
        let list = if seq.is_none() {
            EndpointUpdate::Snapshot(entries.into())
        } else {
            EndpointUpdate::Delta(entries.into())
        };
        self.nodes[node].failures = 0;
        self.decide(node, Event::EndpointsUpdated(list));
        // The watch goes on.
        self.call(node);
    }
}
