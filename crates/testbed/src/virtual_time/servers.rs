//! Cache servers and the origin in virtual time.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use super::state::{Attempt, ListedState, Process, Server};
use crate::attempt_id::AttemptId;
use crate::fleet;
use crate::judge::Observation;
use crate::models::cache_server::{JobId, ServerOutput};
use crate::models::{CacheServer, InitialEntries};
use crate::placement::Placement;
use balancer_core::{AttemptStatus, Endpoint, EndpointState, ServerId};
use std::collections::BTreeSet;

/// The purpose of the random values of initial entries.
const INITIAL_ENTRIES: u64 = 0x7761_726d;

impl Simulation<'_> {
    /// Starts a server under a new id.
    pub(super) fn start_server(&mut self, index: usize, listed: ListedState, warm: bool) {
        let predecessors = self.servers.iter().filter(|server| server.index == index).count();
        let name = fleet::server_name(self.script, index, predecessors);
        let zone = fleet::server_zone(self.script, index);
        let judge_number = self.judge.add_server(&name, zone, fleet::server_cell(index));
        let id = ServerId::from(name.as_str());
        let server = self.servers.len();
        self.server_by_id.insert(id.clone(), server);
        self.servers.push(Server { id, index, judge_number, process: None, listed });
        self.server_at[index] = server;
        self.start_process(server, warm);
    }

    /// Starts a process of a server.
    pub(super) fn start_process(&mut self, server: usize, warm: bool) {
        let script = self.script;
        let index = self.servers[server].index;
        let kind = fleet::server_kind(script, index).clone();
        let mut model =
            CacheServer::new(kind, script.rules.clone(), script.load_reports.clone(), self.now, warm);
        model.set_extra_error_rate(self.conditions[index].error_rate);
        self.servers[server].process = Some(self.processes.len());
        self.processes.push(Process { server, model, alive: true, connections: 0, wakeup: None });
    }

    /// Fills the caches with the initial entries.
    pub(super) fn fill_caches(&mut self) {
        let list: Vec<_> = (0..self.servers.len()).map(|server| self.endpoint(server)).collect();
        let placement = Placement::new(self.script, list.clone());
        let random = self.random.derive(INITIAL_ENTRIES);
        for (server, endpoint) in list.into_iter().enumerate() {
            let capacity = fleet::server_kind(self.script, self.servers[server].index).cache_entries;
            let share = placement.share(endpoint.weight);
            let initial =
                InitialEntries::new(placement.ranks(), share, capacity, random.derive(server as u64));
            if let Some(process) = self.servers[server].process {
                self.processes[process].model.set_initial_entries(initial);
            }
        }
        self.placement = Some(placement);
    }

    /// Returns the rank of an entry if the entry was initially cached and belongs to this server. Looks up
    /// the server only if the cache result depends on it.
    pub(super) fn initial_rank(&mut self, server: usize, process: usize, key: u64, rank: u32) -> Option<u32> {
        if !self.processes[process].model.depends_on_initial_entries(key, rank) {
            return None;
        }
        let initial_server = self.placement.as_mut()?.server(rank)?;
        (initial_server == self.servers[server].id).then_some(rank)
    }

    /// Returns the entry of a server in the endpoint list of discovery.
    pub(super) fn endpoint(&self, server: usize) -> Endpoint {
        let Server { id, index, listed, .. } = &self.servers[server];
        fleet::endpoint(self.script, id.clone(), *index, listed.state, listed.started_at)
    }

    pub(super) fn server_wakeup(&mut self, process: usize) {
        if self.processes[process].wakeup == Some(self.now) {
            self.processes[process].wakeup = None;
            self.advance_server(process);
        }
    }

    /// Advances the model of a server and handles its outputs.
    pub(super) fn advance_server(&mut self, process: usize) {
        if !self.processes[process].alive {
            return;
        }
        let mut outputs = Vec::new();
        self.processes[process].model.advance(self.now, &mut outputs);
        for output in outputs {
            match output {
                ServerOutput::Fetch(job) => self.fetch(process, job),
                ServerOutput::Finished { id, failed, hit } => self.job_finished(process, id, failed, hit),
            }
        }
        self.schedule_server_wakeup(process);
    }

    fn job_finished(&mut self, process: usize, job: JobId, failed: bool, hit: bool) {
        let AttemptId { request, attempt } = AttemptId::of_job(job);
        let server = self.servers[self.processes[process].server].judge_number;
        self.judge.record(Observation::Executed { request, server, at: self.now });
        self.statistics.hits += u64::from(hit);
        self.statistics.misses += u64::from(!hit);
        let status = if failed { AttemptStatus::Failed } else { AttemptStatus::Ok };
        self.send_response(request as usize, attempt as usize, status, hit);
    }

    pub(super) fn schedule_server_wakeup(&mut self, process: usize) {
        let Process { model, wakeup, .. } = &mut self.processes[process];
        if let Some(next) = model.next_wakeup().filter(|next| wakeup.is_none_or(|wakeup| *next < wakeup)) {
            let next = next.max(self.now);
            *wakeup = Some(next);
            self.events.schedule(next, SimulationEvent::ServerWakeup { process });
        }
    }

    fn fetch(&mut self, process: usize, job: JobId) {
        let AttemptId { request, attempt } = AttemptId::of_job(job);
        let random = self.request_random(request as usize).derive(12).derive(attempt);
        if self.origin.fetch(self.now, job, random) {
            self.statistics.fetches_accepted += 1;
            let longest = &mut self.statistics.longest_origin_queue;
            *longest = (*longest).max(self.origin.queued());
            self.schedule_origin_wakeup();
        } else {
            self.statistics.fetches_rejected += 1;
            self.processes[process].model.fetch_ended(self.now, job, false);
        }
    }

    pub(super) fn origin_wakeup(&mut self) {
        if self.origin_wakeup != Some(self.now) {
            return;
        }
        self.origin_wakeup = None;
        let mut ended = Vec::new();
        self.origin.advance(self.now, &mut ended);
        for job in ended {
            let AttemptId { request, attempt } = AttemptId::of_job(job);
            let process = self.requests[request as usize].attempts[attempt as usize].process;
            if let Some(process) = process.filter(|&process| self.processes[process].alive) {
                self.processes[process].model.fetch_ended(self.now, job, true);
                self.advance_server(process);
            }
        }
        self.schedule_origin_wakeup();
    }

    fn schedule_origin_wakeup(&mut self) {
        let next = self.origin.next_wakeup();
        if let Some(next) = next.filter(|next| self.origin_wakeup.is_none_or(|wakeup| *next < wakeup)) {
            self.origin_wakeup = Some(next);
            self.events.schedule(next, SimulationEvent::OriginWakeup);
        }
    }

    /// Ends a process and resets the connections of its attempts.
    pub(super) fn stop_process(&mut self, process: usize) {
        if !std::mem::replace(&mut self.processes[process].alive, false) {
            return;
        }
        let server = self.processes[process].server;
        self.servers[server].process = None;
        self.detect_state_later(server, EndpointState::Removed, None);
        // The attempts are reset in the order of their requests' numbers, so that runs are deterministic.
        let in_flight: BTreeSet<usize> =
            self.nodes.iter().flat_map(|node| node.in_flight.iter().copied()).collect();
        for request in in_flight {
            for attempt in 0..self.requests[request].attempts.len() {
                let Attempt { process: to, sent, ended, .. } = self.requests[request].attempts[attempt];
                if to == Some(process) && sent && !ended {
                    self.reset_attempt(request, attempt);
                }
            }
        }
    }
}
