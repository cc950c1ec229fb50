//! One process takes another's place, as [`balancer_core::handover`] has it: what its words mean for a node.

use super::listeners::Bound;
use super::node::Node;
use crate::config::Config;
use crate::handover::{Giver, Taking, Word};
use crate::log::log;
use crate::manager::Manager;
use balancer_core::handover::{self, GiverAction, GiverEvent, Giving as How, TakerAction, TakerEvent};
use rustix::process::Signal as Kill;
use std::error::Error;
use std::future::pending;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::{sleep_until, Instant};

/// What came of taking another process's place.
#[derive(Debug)]
pub enum Taken {
    /// This is the one that serves.
    Owned(Predecessor),
    /// It was told to stop.
    Terminated,
    /// The other one goes on by itself, for this reason; what was taken has to be finished.
    Withdrawn(String),
}

/// The process whose place this one has taken, for as long as it stands by.
#[derive(Debug)]
pub struct Predecessor {
    machine: handover::Taker,
    taking: Taking,
}

/// Takes the place of the process at the other end. `bound` has a socket for each listener.
pub async fn take(
    node: &mut Node,
    mut taking: Taking,
    bound: Bound,
    terminate: &mut Signal,
) -> Result<Taken, Box<dyn Error>> {
    let mut machine = handover::Taker::default();
    let mut bound = Some(bound);
    let readiness = node.readiness.clone();
    let mut prepared =
        std::pin::pin!(readiness.wait(|pool| log!("waiting for cache servers of pool {pool}")));
    let mut waits = true;
    let mut why = String::new();
    loop {
        let mut terminated = false;
        let event = tokio::select! {
            biased;
            _ = terminate.recv() => {
                terminated = true;
                TakerEvent::Stop
            }
            word = taking.next() => match word {
                Word::Go(state) => {
                    state.into_iter().for_each(|state| node.recall(state));
                    TakerEvent::Go
                }
                Word::Yours => TakerEvent::Yours,
                Word::Left => TakerEvent::Left,
                Word::Cancelled(reason) => {
                    why = format!("the process that serves goes on by itself: {reason}");
                    TakerEvent::Cancelled
                }
                Word::Died => TakerEvent::Died,
                Word::Cut => {
                    "the link to the process that serves was cut, and that goes on".clone_into(&mut why);
                    TakerEvent::Cut
                }
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
                TakerAction::SayDeclined => taking.say_declined().await,
                TakerAction::SayFree => taking.say_free().await,
                TakerAction::Dismiss => taking.dismiss(),
                // Not before: a successor that may still be sent away says nothing of itself.
                TakerAction::Own => return Ok(Taken::Owned(Predecessor { machine, taking })),
                TakerAction::Withdraw | TakerAction::End if terminated => return Ok(Taken::Terminated),
                TakerAction::Withdraw => return Ok(Taken::Withdrawn(why)),
                TakerAction::End => return Err(why.into()),
            }
        }
    }
}

impl Predecessor {
    fn stands_by(&self) -> bool {
        self.machine == handover::Taker::OnProbation
    }

    /// Waits until it stands by no more. Dropped before that, it loses nothing.
    async fn gone(&mut self) {
        while self.stands_by() {
            let event = match self.taking.next().await {
                Word::Left => TakerEvent::Left,
                Word::Died => TakerEvent::Died,
                Word::Cut => TakerEvent::Cut,
                Word::Yours | Word::Go(_) | Word::Cancelled(_) => continue,
            };
            self.handle(event).await;
        }
    }

    async fn handle(&mut self, event: TakerEvent) {
        for action in self.machine.handle(event) {
            match action {
                TakerAction::SayFree => self.taking.say_free().await,
                TakerAction::Dismiss => self.taking.dismiss(),
                // Said by one that does not serve yet.
                TakerAction::SayReady
                | TakerAction::Accept
                | TakerAction::SayTaken
                | TakerAction::SayDeclined
                | TakerAction::Own
                | TakerAction::Withdraw
                | TakerAction::End => {}
            }
        }
    }
}

/// What a step of a hand-over means for the node's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Same,
    /// Another process serves, and this one stands by.
    StandingBy,
    /// This one serves again.
    TakenBack,
    /// Another process serves for good.
    Given,
}

/// The places before and behind this process: the one that it took, for as long as that stands by, and its own, for whoever
/// comes for it.
#[derive(Debug, Default)]
pub struct Succession {
    before: Option<Predecessor>,
    giving: Option<Giving>,
}

#[derive(Debug)]
struct Giving {
    machine: handover::Giver,
    giver: Giver,
    /// The successor is on probation until then, and until what was taken is finished.
    probation: Option<Instant>,
}

/// What happens to it.
#[derive(Debug)]
pub enum Happened {
    /// The process before this one stands by no more.
    Alone,
    Giver(GiverEvent),
}

impl Giving {
    fn new(giver: Giver) -> Self {
        Self { machine: handover::Giver::default(), giver, probation: None }
    }

    async fn next(&mut self, node: &Node) -> GiverEvent {
        let probation = self.probation;
        let passed = async {
            match probation {
                Some(until) => sleep_until(until).await,
                None => pending().await,
            }
            node.listeners.drained().await;
        };
        tokio::select! {
            biased;
            event = self.giver.next() => event,
            () = passed => GiverEvent::Overdue,
        }
    }

    /// Why a successor is sent away.
    fn why(&self, event: GiverEvent) -> String {
        match event {
            GiverEvent::Asked if self.machine.barred() => {
                let left = self.giver.barred().unwrap_or_default().as_secs_f64();
                format!("two successors have died with clients in their hands; ask again in {left:.0} s")
            }
            GiverEvent::Overdue => "the successor was not done in time".to_owned(),
            _ => "the successor's words came out of their order".to_owned(),
        }
    }
}

impl Succession {
    pub fn new(before: Option<Predecessor>, giver: Option<Giver>) -> Self {
        Self { before: before.filter(Predecessor::stands_by), giving: giver.map(Giving::new) }
    }

    /// Whether a process stands by, should this one die. The service's manager minds that one meanwhile.
    pub fn on_probation(&self) -> bool {
        self.before.is_some()
    }

    /// Whether a successor is at work that does not serve yet.
    pub fn busy(&self) -> bool {
        self.giving.as_ref().is_some_and(|giving| giving.machine.busy())
    }

    /// Whether another process serves, and this one stands by.
    pub fn stands_by(&self) -> bool {
        self.giving.as_ref().is_some_and(|giving| giving.machine.giving() == How::StandingBy)
    }

    /// How much longer successors are turned away.
    pub fn barred(&self) -> Option<Duration> {
        self.giving.as_ref()?.giver.barred()
    }

    /// Sends a signal on to the process that serves.
    pub fn relay(&self, signal: Kill) {
        self.giving.iter().for_each(|giving| giving.giver.signal(signal));
    }

    /// The next thing that happens. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self, node: &Node) -> Happened {
        let Self { before, giving } = self;
        let before = async {
            match before {
                Some(before) => before.gone().await,
                None => pending().await,
            }
        };
        let giver = async {
            match giving {
                Some(giving) => giving.next(node).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = before => Happened::Alone,
            event = giver => Happened::Giver(event),
        }
    }

    /// Takes in what happened.
    pub async fn handle(&mut self, happened: Happened, node: &Node, manager: &Manager) -> Step {
        match happened {
            Happened::Alone => {
                self.before = None;
                manager.main(std::process::id());
                Step::Same
            }
            Happened::Giver(event) => self.give(event, node, manager).await,
        }
    }

    async fn give(&mut self, event: GiverEvent, node: &Node, manager: &Manager) -> Step {
        let Some(giving) = &mut self.giving else { return Step::Same };
        let process = giving.giver.successor().unwrap_or_default();
        let what = match event {
            GiverEvent::Died => "has died",
            GiverEvent::Cut => "cannot be heard any more, and lives",
            GiverEvent::Declined => "gives up",
            _ => "",
        };
        if !what.is_empty() {
            log!("hand-over: the successor {process} {what}");
        }
        let mut step = Step::Same;
        for action in giving.machine.handle(event) {
            match action {
                GiverAction::Offer => {
                    if let Some(before) = &mut self.before {
                        before.handle(TakerEvent::Giving).await;
                    }
                    if self.before.take().is_some() {
                        manager.main(std::process::id());
                    }
                    let listener = |place: usize| node.config.listeners[place].clone();
                    let sockets = node.listeners.sockets();
                    let sockets =
                        sockets.into_iter().map(|(place, socket)| (listener(place), socket)).collect();
                    giving.giver.offer(sockets, &node.state().await);
                }
                GiverAction::Pause => {
                    node.listeners.pause();
                    giving.giver.go(&node.state().await);
                }
                GiverAction::Resume => node.listeners.resume(),
                GiverAction::Cancel => giving.giver.cancel(&giving.why(event)).await,
                GiverAction::Fence => giving.giver.signal(Kill::TERM),
                GiverAction::StandBy => {
                    node.listeners.stand_by();
                    giving.giver.stand_by();
                    giving.probation = Some(Instant::now() + giving.giver.settings.probation);
                    step = Step::StandingBy;
                }
                GiverAction::TakeBack => {
                    node.listeners.resume();
                    giving.giver.take_back();
                    giving.probation = None;
                    step = Step::TakenBack;
                }
                GiverAction::Bar => giving.giver.bar(),
                GiverAction::Leave => {
                    giving.leave(manager).await;
                    step = Step::Given;
                }
            }
        }
        if giving.machine.giving() == How::Serving {
            giving.giver.close();
        }
        step
    }

    /// The node is told to stop: a successor that prepares is sent away, and one that was told to go on has the clients.
    /// Whether there is such a one.
    pub async fn stop(&mut self, manager: &Manager) -> bool {
        if let Some(before) = &mut self.before {
            before.handle(TakerEvent::Stop).await;
        }
        let mut given = false;
        if let Some(giving) = &mut self.giving {
            for action in giving.machine.stop() {
                match action {
                    GiverAction::Cancel => giving.giver.cancel("it is told to stop").await,
                    GiverAction::Leave => {
                        giving.leave(manager).await;
                        given = true;
                    }
                    _ => {}
                }
            }
            giving.giver.close();
        }
        given
    }

    /// Takes on what a new configuration says. `moved` is the socket where there is another one.
    pub fn reconfigure(&mut self, moved: Option<Giver>, config: &Config) {
        match (&config.hand_over, moved, &mut self.giving) {
            (None, ..) => self.giving = None,
            (Some(_), Some(moved), _) => self.giving = Some(Giving::new(moved)),
            (Some(settings), None, Some(giving)) => giving.giver.settings = settings.clone(),
            (Some(_), None, None) => {}
        }
    }
}

impl Giving {
    /// Leaves the clients to the successor for good.
    async fn leave(&mut self, manager: &Manager) {
        // It must hear of the successor before this process ends, or the service would have ended with it.
        self.giver.successor().into_iter().for_each(|process| manager.main(process));
        self.giver.leave().await;
    }
}
