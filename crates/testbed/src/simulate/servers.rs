//! Cache servers and the origin in virtual time.

use super::agenda::What;
use super::{Attempt, Host, Listed, Play, Process, ATTEMPTS};
use crate::fleet;
use crate::ledger::Fact;
use crate::placement::Placement;
use crate::world::cache_server::Did;
use crate::world::{CacheServer, InitialEntries};
use balancer_core::{AttemptStatus, Endpoint, EndpointState, ServerId};
use std::collections::BTreeSet;

/// Source of what is drawn for the entries held at the start.
const WARM_UP: u64 = 0x7761_726d;

impl Play<'_> {
    pub(super) fn new_host(&mut self, seat: usize, seasoned: bool) {
        let before = self.hosts.iter().filter(|host| host.seat == seat).count();
        let name = fleet::name(self.script, seat, before);
        let number = self.ledger.server(&name, fleet::zone(self.script, seat), fleet::cell(seat));
        let id = ServerId::from(name.as_str());
        let host = self.hosts.len();
        self.by_id.insert(id.clone(), host);
        let listed = Listed {
            state: if seasoned { EndpointState::Ready } else { EndpointState::Removed },
            started: None,
            version: 0,
        };
        self.hosts.push(Host { id, seat, number, process: None, listed });
        self.seats[seat] = host;
        self.new_process(host, seasoned);
    }

    pub(super) fn new_process(&mut self, host: usize, seasoned: bool) {
        let script = self.script;
        let seat = self.hosts[host].seat;
        let kind = fleet::kind(script, seat).clone();
        let mut server =
            CacheServer::new(kind, script.rules.clone(), script.reports.clone(), self.now, seasoned);
        server.set_errors(self.conditions[seat].errors);
        self.hosts[host].process = Some(self.processes.len());
        self.processes.push(Process { host, server, alive: true, connections: 0, look: None });
    }

    pub(super) fn warm_up(&mut self) {
        let list: Vec<_> = (0..self.hosts.len()).map(|host| self.entry(host)).collect();
        let placement = Placement::new(self.script, list.clone());
        let draw = self.draw.on(WARM_UP);
        for (host, entry) in list.into_iter().enumerate() {
            let memory = fleet::kind(self.script, self.hosts[host].seat).memory;
            let share = placement.share(entry.weight);
            let initial = InitialEntries::new(placement.ranks(), share, memory, draw.on(host as u64));
            if let Some(process) = self.hosts[host].process {
                self.processes[process].server.hold_initially(initial);
            }
        }
        self.placement = Some(placement);
    }

    /// The rank of an entry, if this host is the one that held it at the start where any did. Looked up only while that
    /// makes a difference.
    pub(super) fn initial_rank(&mut self, host: usize, process: usize, key: u64, rank: u32) -> Option<u32> {
        if !self.processes[process].server.may_hold_initially(key, rank) {
            return None;
        }
        let server = self.placement.as_mut()?.server(rank)?;
        (server == self.hosts[host].id).then_some(rank)
    }

    pub(super) fn entry(&self, host: usize) -> Endpoint {
        let Host { id, seat, listed, .. } = &self.hosts[host];
        fleet::entry(self.script, id.clone(), *seat, listed.state, listed.started)
    }

    pub(super) fn look(&mut self, process: usize) {
        if !self.processes[process].alive {
            return;
        }
        let mut did = Vec::new();
        self.processes[process].server.advance(self.now, &mut did);
        for did in did {
            match did {
                Did::Fetch(job) => self.fetch(process, job),
                Did::Done { id, failed, hit } => {
                    let (request, attempt) = ((id / ATTEMPTS) as usize, (id % ATTEMPTS) as usize);
                    let server = self.hosts[self.processes[process].host].number;
                    self.ledger.note(Fact::Ran { request: request as u64, server, at: self.now });
                    (self.hits, self.misses) = (self.hits + u64::from(hit), self.misses + u64::from(!hit));
                    let status = if failed { AttemptStatus::Failed } else { AttemptStatus::Ok };
                    self.send_back(request, attempt, status, hit);
                }
            }
        }
        self.look_again(process);
    }

    pub(super) fn look_again(&mut self, process: usize) {
        let Process { server, look, .. } = &mut self.processes[process];
        if let Some(next) = server.next().filter(|next| look.is_none_or(|look| *next < look)) {
            let next = next.max(self.now);
            *look = Some(next);
            self.agenda.put(next, What::Look(process));
        }
    }

    pub(super) fn fetch(&mut self, process: usize, job: u64) {
        let draw = self.try_draw((job / ATTEMPTS) as usize).on(12).on(job % ATTEMPTS);
        if self.origin.fetch(self.now, job, draw) {
            self.fetches.0 += 1;
            self.origin_queue = self.origin_queue.max(self.origin.waiting());
            self.look_at_origin_again();
        } else {
            self.fetches.1 += 1;
            self.processes[process].server.fetched(self.now, job, false);
        }
    }

    pub(super) fn look_at_origin(&mut self) {
        let mut ended = Vec::new();
        self.origin.ended(self.now, &mut ended);
        for job in ended {
            let (request, attempt) = ((job / ATTEMPTS) as usize, (job % ATTEMPTS) as usize);
            if let Some(process) = self.tries[request].attempts[attempt].process {
                if self.processes[process].alive {
                    self.processes[process].server.fetched(self.now, job, true);
                    self.look(process);
                }
            }
        }
        self.look_at_origin_again();
    }

    pub(super) fn look_at_origin_again(&mut self) {
        if let Some(next) = self.origin.next().filter(|next| self.origin_look.is_none_or(|look| *next < look))
        {
            self.origin_look = Some(next);
            self.agenda.put(next, What::LookAtOrigin);
        }
    }

    /// Ends a process: what it held is reset.
    pub(super) fn stop(&mut self, process: usize) {
        if !std::mem::replace(&mut self.processes[process].alive, false) {
            return;
        }
        let host = self.processes[process].host;
        self.hosts[host].process = None;
        self.notice_later(host, EndpointState::Removed, None);
        // In the order of their numbers: the ones that are open at some node and lead here.
        let open: BTreeSet<usize> = self.nodes.iter().flat_map(|node| node.open.iter().copied()).collect();
        for request in open {
            for attempt in 0..self.tries[request].attempts.len() {
                let Attempt { process: to, written, ended, .. } = self.tries[request].attempts[attempt];
                if to == Some(process) && written && !ended {
                    self.reset(request, attempt);
                }
            }
        }
    }
}
