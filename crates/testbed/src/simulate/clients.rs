//! Clients and the front before the nodes, in virtual time.

use super::agenda::What;
use super::{Play, Try};
use crate::conduct;
use crate::draw::Draw;
use crate::ledger::{Answer, Fact};
use balancer_core::Timestamp;
use std::time::Duration;

impl Play<'_> {
    pub(super) fn next_ask(&mut self) {
        self.coming = self.demand.next();
        if let Some(ask) = &self.coming {
            let at = Timestamp::default() + ask.at;
            self.agenda.put(at, What::Ask);
        }
    }

    pub(super) fn ask(&mut self) {
        let Some(ask) = self.coming.take() else { return };
        self.ledger.note(Fact::Asked { ask: ask.number, at: self.now, class: ask.class });
        let number = self.asks.len();
        self.asks.push((ask, false));
        self.send_try(number, 0);
        self.next_ask();
    }

    pub(super) fn send_try(&mut self, ask: usize, number: u32) {
        let zone = self.asks[ask].0.zone;
        let draw = self.asks[ask].0.of_try(number);
        let patience = conduct::patience(self.script, &self.asks[ask].0, self.since_start());
        let until = self.now + patience;
        let request = self.tries.len();
        let zones = self.fronted.len();
        let near =
            (0..zones).map(|step| &self.fronted[(zone + step) % zones]).find(|nodes| !nodes.is_empty());
        let node = near.map(|nodes| nodes[(draw.on(1).bits() % nodes.len() as u64) as usize]);
        let life = node.map_or(0, |node| self.nodes[node].life);
        let way = self.client_way(draw.on(2));
        self.tries.push(Try {
            ask,
            number,
            node: node.unwrap_or(0),
            life,
            until,
            over: false,
            answered: false,
            attempts: Vec::new(),
        });
        match node {
            Some(_) => self.agenda.put(self.now + way, What::Arrive(request)),
            None => {
                self.agenda.put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO })
            }
        }
        if let Some(after) = conduct::leaves(self.script, draw, patience) {
            self.agenda.put(self.now + after, What::Leaves(request));
        }
        self.agenda.put(until, What::GivesUp(request));
    }

    pub(super) fn heard(&mut self, request: usize, answer: Option<Answer>, away: Duration) {
        let Try { ask, over, .. } = self.tries[request];
        if over {
            return;
        }
        self.tries[request].over = true;
        if answer == Some(Answer::Served) {
            let number = self.asks[ask].0.number;
            self.asks[ask].1 = true;
            self.ledger.note(Fact::Served { ask: number, at: self.now });
        } else {
            self.try_again(request, away);
        }
    }

    pub(super) fn gives_up(&mut self, request: usize) {
        if !self.tries[request].over {
            self.tries[request].over = true;
            self.client_closes(request);
            self.try_again(request, Duration::ZERO);
        }
    }

    pub(super) fn leaves(&mut self, request: usize) {
        if !self.tries[request].over {
            self.tries[request].over = true;
            self.ledger.note(Fact::Left { request: request as u64 });
            self.client_closes(request);
        }
    }

    pub(super) fn client_closes(&mut self, request: usize) {
        let way = self.client_way(self.try_draw(request).on(5));
        self.agenda.put(self.now + way, What::Left(request));
    }

    pub(super) fn try_again(&mut self, request: usize, away: Duration) {
        let Try { ask, number, .. } = self.tries[request];
        let (asked, served) = &self.asks[ask];
        let again = conduct::again(self.script, asked, number, self.since_start(), away);
        if let Some(wait) = again.filter(|_| !served) {
            self.agenda.put(self.now + wait, What::Try { ask, number: number + 1 });
        }
    }

    pub(super) fn try_draw(&self, request: usize) -> Draw {
        let Try { ask, number, .. } = self.tries[request];
        self.asks[ask].0.of_try(number)
    }
}
