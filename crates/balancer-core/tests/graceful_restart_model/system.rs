//! The modelled system: a chain of processes, and a link between each and its successor.

use balancer_core::graceful_restart::{
    Predecessor, PredecessorAction, PredecessorEvent, PredecessorState, Successor, SuccessorAction,
    SuccessorEvent, SuccessorState,
};

/// A message on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Ready,
    Proceed,
    Accepting,
    Commit,
    Departed,
    Release,
    Decline,
    Cancel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    pub predecessor: Predecessor,
    /// `None` for the process that started by itself.
    pub successor: Option<Successor>,
    pub alive: bool,
    pub accepts: bool,
    /// It has departed, given up or was told to stop: it finishes its requests, and exits.
    pub leaves: bool,
    /// It reads nothing for now.
    pub hangs: bool,
    /// A termination signal is pending: from its supervisor, or from a process that fences it.
    pub signalled: bool,
    pub fenced: bool,
}

impl Process {
    pub fn new(successor: Option<Successor>) -> Self {
        Self {
            predecessor: Predecessor::default(),
            alive: true,
            accepts: successor.is_none(),
            successor,
            leaves: false,
            hangs: false,
            signalled: false,
            fenced: false,
        }
    }

    /// Whether it serves, and can hand over to a successor of its own.
    pub fn serves(&self) -> bool {
        self.successor.is_none_or(Successor::serves)
    }

    pub fn successor_state(&self) -> Option<SuccessorState> {
        self.successor.map(Successor::state)
    }

    fn fence(&mut self) {
        (self.signalled, self.fenced) = (self.alive, true);
    }
}

/// The link between a process, which has the upper end, and its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Link {
    pub upper_open: bool,
    pub lower_open: bool,
    pub up: Vec<Message>,
    pub down: Vec<Message>,
    /// Lost, while the processes hold their ends open.
    pub severed: bool,
    /// Whether each end (lower, upper) was told that the link has ended.
    pub end_reported: [bool; 2],
}

impl Link {
    fn open() -> Self {
        Self { upper_open: true, lower_open: true, ..Self::default() }
    }
}

/// Faults that may still happen, and successors that may still start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub successors: u8,
    pub deaths: u8,
    pub hangs: u8,
    pub cuts: u8,
    pub stops: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct System {
    pub processes: Vec<Process>,
    pub links: Vec<Link>,
    pub budget: Budget,
    /// A predecessor gave up on a successor that accepts, or is just about to.
    pub overtaken: bool,
    /// A process that served, or was about to, was told to stop.
    pub stopped: bool,
    /// A predecessor on standby accepted again when its successor had died.
    pub rolled_back: bool,
    /// A successor was fenced after the link was lost.
    pub fenced: bool,
}

impl System {
    pub fn new(budget: Budget) -> Self {
        Self {
            processes: vec![Process::new(None)],
            links: Vec::new(),
            budget,
            overtaken: false,
            stopped: false,
            rolled_back: false,
            fenced: false,
        }
    }

    pub fn predecessor_state(&self, place: usize) -> PredecessorState {
        self.processes[place].predecessor.state()
    }

    /// A new process requests a hand-over from the one at `place`, the last.
    pub fn start_successor(&mut self, place: usize) {
        self.budget.successors -= 1;
        self.processes.push(Process::new(Some(Successor::default())));
        self.links.push(Link::open());
        self.predecessor_event(place, PredecessorEvent::Requested);
    }

    pub fn predecessor_event(&mut self, place: usize, event: PredecessorEvent) {
        let actions = self.processes[place].predecessor.handle(event);
        self.carry_out_as_predecessor(place, actions);
    }

    pub fn successor_event(&mut self, place: usize, event: SuccessorEvent) {
        let Some(successor) = &mut self.processes[place].successor else { return };
        for action in successor.handle(event) {
            self.carry_out_as_successor(place, *action);
        }
    }

    /// The process handles a termination signal.
    pub fn stop(&mut self, place: usize) {
        let process = &self.processes[place];
        self.stopped |= !process.fenced;
        if process.serves() {
            let actions = self.processes[place].predecessor.stop();
            self.carry_out_as_predecessor(place, actions);
            if place < self.links.len() {
                self.links[place].upper_open = false;
            }
        }
        self.successor_event(place, SuccessorEvent::StopRequested);
        let process = &mut self.processes[place];
        (process.accepts, process.leaves) = (false, true);
    }

    /// The process ends, and with it its ends of links.
    pub fn end(&mut self, place: usize) {
        let process = &mut self.processes[place];
        (process.alive, process.accepts, process.hangs, process.signalled) = (false, false, false, false);
        if place > 0 {
            self.links[place - 1].lower_open = false;
        }
        if place < self.links.len() {
            self.links[place].upper_open = false;
        }
    }

    /// Whether the upper or lower end of a link has a message, or the link's end, to read.
    pub fn is_readable(&self, place: usize, upper: bool) -> bool {
        let link = &self.links[place];
        let (own_open, peer_open, messages) = match upper {
            true => (link.upper_open, link.lower_open, &link.up),
            false => (link.lower_open, link.upper_open, &link.down),
        };
        let peer = &self.processes[if upper { place + 1 } else { place }];
        // An end is told that the link was lost, and of a death after that.
        let ended = link.severed || !peer_open;
        let reported = link.end_reported[usize::from(upper)];
        own_open && (!messages.is_empty() || (ended && (!reported || !peer.alive)))
    }

    /// The next message for the upper or lower end of a link; `None` if the link has ended.
    pub fn read(&mut self, place: usize, upper: bool) -> Option<Message> {
        let link = &mut self.links[place];
        let messages = if upper { &mut link.up } else { &mut link.down };
        (!messages.is_empty()).then(|| messages.remove(0))
    }

    /// A link has ended: returns whether the process at the other end has died.
    pub fn link_ended(&mut self, place: usize, upper: bool) -> bool {
        let peer_died = !self.processes[if upper { place + 1 } else { place }].alive;
        let link = &mut self.links[place];
        link.end_reported[usize::from(upper)] = true;
        if peer_died {
            *(if upper { &mut link.upper_open } else { &mut link.lower_open }) = false;
        }
        peer_died
    }

    fn carry_out_as_predecessor(&mut self, place: usize, actions: &[PredecessorAction]) {
        for action in actions {
            match action {
                PredecessorAction::BackOff => {}
                // The process on standby behind this one is not needed any more, and learns so before anything else.
                PredecessorAction::Offer => self.successor_event(place, SuccessorEvent::HandoverStarted),
                PredecessorAction::Pause => {
                    self.processes[place].accepts = false;
                    self.send_down(place, Message::Proceed);
                }
                PredecessorAction::Resume | PredecessorAction::Rollback => {
                    self.processes[place].accepts = true
                }
                PredecessorAction::Commit => self.send_down(place, Message::Commit),
                PredecessorAction::Fence => {
                    self.processes[place + 1].fence();
                    self.fenced |= self.links[place].severed;
                    self.overtaken = true;
                }
                PredecessorAction::Cancel => {
                    let accepting =
                        self.processes[place + 1].successor_state() == Some(SuccessorState::Accepting);
                    self.overtaken |= accepting || self.links[place].down.contains(&Message::Proceed);
                    self.send_down(place, Message::Cancel);
                    self.links[place].upper_open = false;
                }
                PredecessorAction::Depart => {
                    self.send_down(place, Message::Departed);
                    self.links[place].upper_open = false;
                    self.processes[place].leaves = true;
                }
            }
        }
    }

    fn carry_out_as_successor(&mut self, place: usize, action: SuccessorAction) {
        match action {
            SuccessorAction::SendReady => drop(self.send_up(place, Message::Ready)),
            SuccessorAction::SendAccepting => drop(self.send_up(place, Message::Accepting)),
            SuccessorAction::Release => {
                let upper_open = self.links[place - 1].upper_open;
                if !self.send_up(place, Message::Release) && upper_open {
                    self.processes[place - 1].fence();
                }
                self.links[place - 1].lower_open = false;
            }
            SuccessorAction::Decline => {
                self.send_up(place, Message::Decline);
                self.links[place - 1].lower_open = false;
            }
            SuccessorAction::Accept => self.processes[place].accepts = true,
            SuccessorAction::TakeOwnership => {}
            SuccessorAction::TerminatePredecessor => self.processes[place - 1].fence(),
            SuccessorAction::Drain | SuccessorAction::Exit => {
                self.links[place - 1].lower_open = false;
                let process = &mut self.processes[place];
                (process.accepts, process.leaves) = (false, true);
            }
        }
    }

    /// Sends a message to the successor of the process at `place`, if it can arrive.
    fn send_down(&mut self, place: usize, message: Message) {
        let link = &mut self.links[place];
        if link.lower_open && !link.severed {
            link.down.push(message);
        }
    }

    /// Sends a message to the predecessor of the process at `place`. Returns whether it can arrive.
    fn send_up(&mut self, place: usize, message: Message) -> bool {
        let link = &mut self.links[place - 1];
        let arrives = link.upper_open && !link.severed;
        if arrives {
            link.up.push(message);
        }
        arrives
    }
}
