//! Nodes in virtual time: the daemon round the decisions, as far as it shows from outside.

use super::agenda::What;
use super::{Ended, Kept, Play, Try, GUARD, KILL_AFTER, LEAVE_HEARD, LEAVING, MARGIN};
use crate::demand::Ask;
use crate::fleet;
use crate::ledger::{Answer, Fact};
use balancer_core::{Action, AttemptStatus, ClassId, Event, Request, RequestId};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

impl Play<'_> {
    /// Whether the node's process that took this try still runs.
    pub(super) fn lives(&self, request: usize) -> bool {
        let Try { node, life, .. } = self.tries[request];
        self.nodes[node].up && self.nodes[node].life == life
    }

    pub(super) fn arrive(&mut self, request: usize) {
        let Try { ask, node, until, .. } = self.tries[request];
        if !self.nodes[node].up {
            let way = self.client_way(self.try_draw(request).on(6));
            return self
                .agenda
                .put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO });
        }
        self.tries[request].life = self.nodes[node].life;
        self.nodes[node].open.insert(request);
        let Ask { number, class, .. } = self.asks[ask].0;
        self.ledger.note(Fact::Taken { request: request as u64, ask: number, node, at: self.now, until });
        // The client tells how long it will wait, and the node counts from when the request has come.
        let sent = until.since(self.now) + self.client_way(self.try_draw(request).on(2));
        let valid_until = self.now + sent.saturating_sub(MARGIN);
        if self.guard.answers_in_time {
            self.agenda.put(valid_until + GUARD, What::Guard(request));
        }
        let class_settings = &self.script.classes[class];
        let event = Event::Request(Request {
            id: request_id(request),
            class: Some(ClassId(self.class_id(node, class))),
            tenant: None,
            key: Some(self.asks[ask].0.key_number()),
            deadline: valid_until,
            expected_work: None,
            write: class_settings.write,
            client_retry: false,
        });
        self.decide(node, event);
        // A client that left while its request was on its way.
        if self.tries[request].over {
            self.ledger.note(Fact::Left { request: request as u64 });
            self.left(request);
        }
    }

    pub(super) fn left(&mut self, request: usize) {
        let Try { node, answered, .. } = self.tries[request];
        if !answered && self.lives(request) && self.nodes[node].open.contains(&request) {
            self.tries[request].answered = true;
            self.decide(node, Event::RequestCancelled(request_id(request)));
            self.tidy(request);
        }
    }

    /// Gives a final answer. A second one goes out too: the judge sees it.
    pub(super) fn answer(&mut self, request: usize, answer: Answer, away: Duration) {
        self.tries[request].answered = true;
        self.ledger.note(Fact::Answered { request: request as u64, at: self.now, answer });
        let way = self.client_way(self.try_draw(request).on(7));
        self.agenda.put(self.now + way, What::Heard { request, answer: Some(answer), away });
        self.tidy(request);
    }

    pub(super) fn tidy(&mut self, request: usize) {
        let Try { node, answered, attempts, .. } = &self.tries[request];
        if *answered && attempts.iter().all(|attempt| attempt.ended) {
            self.nodes[*node].open.remove(&request);
        }
    }

    pub(super) fn decide(&mut self, node: usize, event: Event) {
        let mut due = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = due.pop_front() {
            self.nodes[node].decide.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                due.extend(self.carry_out(node, action));
            }
        }
    }

    /// Does what a node decided; what follows from it at once is for its decisions.
    pub(super) fn carry_out(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::StartAttempt { id, server, timeout, .. } => {
                return self.send(node, request_of(&id)?, server, timeout)
            }
            Action::CancelAttempt { id, attempt } => {
                let (request, attempt) = (request_of(&id)?, attempt as usize);
                let ended = self.tries[request].attempts.get(attempt).is_none_or(|attempt| attempt.ended);
                if !ended {
                    self.give_up(request, attempt);
                    return Some(self.outcome(
                        request,
                        attempt,
                        Ended::without_answer(AttemptStatus::Canceled),
                    ));
                }
            }
            Action::Reject { id, retry_after } => self.answer(request_of(&id)?, Answer::Refused, retry_after),
            Action::Fail { id } => self.answer(request_of(&id)?, Answer::Failed, Duration::ZERO),
            Action::SetTimer { after } => {
                let life = self.nodes[node].life;
                self.agenda.put(self.now + after, What::Wake { node, life });
            }
            Action::CloseIdleConnections { server } => {
                let host = *self.by_id.get(&server)?;
                self.close_idle(node, host);
            }
            Action::SubscribeToEndpoints => self.follow(node),
            Action::Log(_) => self.log_lines += 1,
            Action::CheckHealth { .. } => {}
        }
        None
    }

    pub(super) fn close_idle(&mut self, node: usize, host: usize) {
        for Kept { process, .. } in self.nodes[node].pool.remove(&host).unwrap_or_default() {
            self.processes[process].connections -= 1;
        }
    }

    pub(super) fn front(&mut self, node: usize, up: bool) {
        let zone = self.nodes[node].zone;
        if std::mem::replace(&mut self.nodes[node].fronted, up) != up {
            self.fronted[zone].retain(|&other| other != node);
            if up {
                self.fronted[zone].push(node);
                self.fronted[zone].sort_unstable();
            }
        }
    }

    pub(super) fn start(&mut self, node: usize) {
        let (settings, zone) = (fleet::settings(self.script, self.nodes[node].zone), node as u64);
        let life = self.nodes[node].life + 1;
        let decide = (self.make)(settings, self.draw.on(zone).on(u64::from(life)).bits());
        let state = &mut self.nodes[node];
        (state.decide, state.life, state.up, state.leaving) = (decide, life, true, false);
        state.reloads = 0;
        // From an operator's file it begins with no list that it could ask for changes of.
        state.seq = state.seq.filter(|_| !self.script.operated());
        (state.calling, state.watching, state.failures) = (false, false, 0);
        let list: Vec<_> = state.list.values().cloned().collect();
        self.ledger.note(Fact::Started { node });
        self.decide(node, Event::EndpointsRestored(list.into()));
        self.front(node, true);
    }

    /// What the next process is told comes back as it would there. What is out stays with the decisions that sent it.
    pub(super) fn upgrade(&mut self, node: usize) {
        if !self.nodes[node].up || self.nodes[node].leaving {
            return;
        }
        if let Some(known) = self.nodes[node].decide.knowledge(self.now) {
            self.decide(node, Event::StateRestored(Arc::new(known)));
        }
    }

    pub(super) fn reload(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].reloads += 1;
        let mut settings = fleet::settings(self.script, self.nodes[node].zone);
        if self.nodes[node].reloads % 2 == 1 {
            settings.classes.reverse();
        }
        self.decide(node, Event::Reconfigured(Box::new(settings)));
    }

    /// Where a class of the script's stands in the node's configuration.
    fn class_id(&self, node: usize, class: usize) -> usize {
        match self.nodes[node].reloads % 2 {
            0 => class,
            _ => self.script.classes.len() - 1 - class,
        }
    }

    pub(super) fn restart(&mut self, node: usize, killed: bool, down: Duration) {
        if !self.nodes[node].up || self.nodes[node].leaving {
            return;
        }
        let life = self.nodes[node].life;
        if killed {
            self.kill(node);
            self.agenda.put(self.now + self.script.front_notice, What::FrontHears { node, life, up: false });
            return self.agenda.put(self.now + down, What::Start(node));
        }
        self.nodes[node].leaving = true;
        self.agenda.put(self.now + LEAVE_HEARD, What::FrontHears { node, life, up: false });
        self.agenda.put(self.now + LEAVING, What::Ends { node, life, force: false, down });
        self.agenda.put(self.now + self.longest + KILL_AFTER, What::Ends { node, life, force: true, down });
    }

    /// Ends a node that leaves, if it has nothing left to do or must.
    pub(super) fn ends(&mut self, node: usize, life: u32, force: bool, down: Duration) {
        let state = &self.nodes[node];
        if !state.up || state.life != life {
            return;
        }
        if state.open.is_empty() || force {
            self.kill(node);
            self.agenda.put(self.now + down, What::Start(node));
        } else {
            self.agenda
                .put(self.now + Duration::from_millis(50), What::Ends { node, life, force: false, down });
        }
    }

    pub(super) fn kill(&mut self, node: usize) {
        self.ledger.note(Fact::Killed { node, at: self.now });
        self.nodes[node].up = false;
        let hosts: Vec<_> = self.nodes[node].pool.keys().copied().collect();
        hosts.into_iter().for_each(|host| self.close_idle(node, host));
        for request in std::mem::take(&mut self.nodes[node].open) {
            for attempt in 0..self.tries[request].attempts.len() {
                if !self.tries[request].attempts[attempt].ended {
                    self.tries[request].attempts[attempt].ended = true;
                    self.give_up(request, attempt);
                }
            }
            if !self.tries[request].answered {
                let way = self.client_way(self.try_draw(request).on(7));
                self.agenda.put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO });
            }
        }
    }
}

pub(super) fn request_id(request: usize) -> RequestId {
    RequestId::from(request.to_string().as_str())
}

pub(super) fn request_of(id: &RequestId) -> Option<usize> {
    id.as_str().parse().ok()
}
