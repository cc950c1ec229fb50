//! One process takes another's place, as [`decide::handover`] has it: what its words mean for a node.

use super::listeners::Bound;
use super::node::Node;
use crate::config::Config;
use crate::handover::{Giver, Taking, Word};
use crate::log::log;
use crate::manager::Manager;
use decide::handover::{self, GiverAction, GiverEvent, TakerAction, TakerEvent};
use std::error::Error;
use tokio::signal::unix::Signal;

/// What came of taking another process's place.
#[derive(Debug)]
pub enum Taken {
    /// This is the one that serves.
    Owned,
    /// It was told to stop.
    Terminated,
    /// The other one goes on by itself, for this reason; what was taken has to be finished.
    Withdrawn(String),
}

/// Takes the place of the process at the other end. `bound` has a socket for each listener.
pub async fn take(
    node: &mut Node,
    mut taking: Taking,
    bound: Bound,
    manager: &Manager,
    terminate: &mut Signal,
) -> Result<Taken, Box<dyn Error>> {
    let mut machine = handover::Taker::default();
    let mut bound = Some(bound);
    let readiness = node.readiness.clone();
    let mut prepared =
        std::pin::pin!(readiness.wait(|pool| log!("waiting for cache servers of pool {pool}")));
    let mut waits = true;
    loop {
        let mut why = String::new();
        let event = tokio::select! {
            biased;
            // Nothing was taken, or what was is finished at the node's end.
            _ = terminate.recv() => return Ok(Taken::Terminated),
            word = taking.next() => match word {
                Word::Go(state) => {
                    state.into_iter().for_each(|state| node.recall(state));
                    TakerEvent::Go
                }
                Word::Cancelled(reason) => {
                    why = format!("the process that serves goes on by itself: {reason}");
                    TakerEvent::Cancelled
                }
                Word::Broken => TakerEvent::Broken,
            },
            () = &mut prepared, if waits => {
                waits = false;
                TakerEvent::Prepared
            }
        };
        for action in machine.handle(event) {
            match action {
                TakerAction::SayReady => taking.say_ready(),
                TakerAction::Accept => {
                    bound.take().into_iter().for_each(|bound| node.listen(bound));
                }
                TakerAction::SayTaken => taking.say_taken(),
                // Not before: a successor that may still be sent away is not the one to mind.
                TakerAction::Own => {
                    manager.main(std::process::id());
                    return Ok(Taken::Owned);
                }
                TakerAction::Withdraw => return Ok(Taken::Withdrawn(why)),
                TakerAction::End => return Err(why.into()),
            }
        }
    }
}

/// The place of this process, for whoever comes for it.
#[derive(Debug)]
pub struct Giving {
    machine: handover::Giver,
    giver: Giver,
}

impl Giving {
    pub fn new(giver: Giver) -> Self {
        Self { machine: handover::Giver::default(), giver }
    }

    /// Whether a successor is at work.
    pub fn busy(&self) -> bool {
        self.machine.busy()
    }

    /// The next thing that happens. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self) -> GiverEvent {
        self.giver.next().await
    }

    /// Takes in what happened. Whether another process serves from here on.
    pub async fn handle(&mut self, event: GiverEvent, node: &Node, manager: &Manager) -> bool {
        let mut given = false;
        for action in self.machine.handle(event) {
            match action {
                GiverAction::Offer => {
                    let listener = |place: usize| node.config.listeners[place].clone();
                    let sockets = node.listeners.sockets();
                    let sockets =
                        sockets.into_iter().map(|(place, socket)| (listener(place), socket)).collect();
                    self.giver.offer(sockets, &node.state().await);
                }
                GiverAction::Pause => {
                    node.listeners.pause();
                    self.giver.go(&node.state().await);
                }
                GiverAction::Resume => node.listeners.resume(),
                GiverAction::Cancel => self.giver.cancel(why(event)).await,
                GiverAction::Leave => {
                    // It must hear of the successor before this process ends, or the service would have ended with it.
                    self.giver.successor().into_iter().for_each(|process| manager.main(process));
                    self.giver.close();
                    given = true;
                }
            }
        }
        given
    }

    /// The node is told to stop: a successor that prepares is sent away, and one that was told to go on has the clients.
    /// Whether there is such a one.
    pub async fn stop(&mut self) -> bool {
        let given = self.machine == handover::Giver::Paused;
        for action in self.machine.stop() {
            if *action == GiverAction::Cancel {
                self.giver.cancel("it is told to stop").await;
            }
        }
        self.giver.close();
        given
    }

    /// Takes on what a new configuration says. `moved` is the socket where there is another one.
    pub fn reconfigure(giving: &mut Option<Self>, moved: Option<Giver>, config: &Config) {
        match (&config.hand_over, moved, &mut *giving) {
            (None, ..) => *giving = None,
            (Some(_), Some(moved), _) => *giving = Some(Self::new(moved)),
            (Some(settings), None, Some(giving)) => giving.giver.settings = settings.clone(),
            (Some(_), None, None) => {}
        }
    }
}

fn why(event: GiverEvent) -> &'static str {
    match event {
        GiverEvent::Overdue => "the successor was not done in time",
        GiverEvent::Asked | GiverEvent::Ready | GiverEvent::Taken | GiverEvent::Broken => {
            "the successor's words came out of their order"
        }
    }
}
