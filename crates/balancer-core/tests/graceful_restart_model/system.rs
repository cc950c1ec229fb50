//! The modelled system: a chain of processes, with a link between each process and its successor.

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
    /// `None` for the first process, which replaces no other.
    pub successor: Option<Successor>,
    pub alive: bool,
    pub accepts: bool,
    /// The process has departed, given up or was told to stop: it finishes its requests and exits.
    pub leaves: bool,
    /// The process currently reads nothing.
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

    /// Returns whether the process serves and can hand over to a successor of its own.
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

/// The link between a process and its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Link {
    pub predecessor_open: bool,
    pub successor_open: bool,
    pub to_predecessor: Vec<Message>,
    pub to_successor: Vec<Message>,
    /// The link was lost, but the processes keep their ends open.
    pub severed: bool,
    /// Whether each end (the successor's, the predecessor's) was told that the link has ended.
    pub end_reported: [bool; 2],
}

impl Link {
    fn open() -> Self {
        Self { predecessor_open: true, successor_open: true, ..Self::default() }
    }
}

/// Number of faults that may still happen and of successors that may still start.
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
    /// A predecessor gave up on a successor that accepts or is about to accept.
    pub gave_up_on_accepting: bool,
    /// A process that served or was about to serve was told to stop.
    pub stopped: bool,
    /// A predecessor on standby accepted again after its successor had died.
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
            gave_up_on_accepting: false,
            stopped: false,
            rolled_back: false,
            fenced: false,
        }
    }

    pub fn predecessor_state(&self, index: usize) -> PredecessorState {
        self.processes[index].predecessor.state()
    }

    /// Starts a new process, which requests a hand-over from the last one, at `index`.
    pub fn start_successor(&mut self, index: usize) {
        self.budget.successors -= 1;
        self.processes.push(Process::new(Some(Successor::default())));
        self.links.push(Link::open());
        self.predecessor_event(index, PredecessorEvent::Requested);
    }

    pub fn predecessor_event(&mut self, index: usize, event: PredecessorEvent) {
        let actions = self.processes[index].predecessor.handle(event);
        self.carry_out_as_predecessor(index, actions);
    }

    pub fn successor_event(&mut self, index: usize, event: SuccessorEvent) {
        let Some(successor) = &mut self.processes[index].successor else { return };
        for action in successor.handle(event) {
            self.carry_out_as_successor(index, *action);
        }
    }

    /// Makes the process handle a termination signal.
    pub fn stop(&mut self, index: usize) {
        let process = &self.processes[index];
        self.stopped |= !process.fenced;
        if process.serves() {
            let actions = self.processes[index].predecessor.stop();
            self.carry_out_as_predecessor(index, actions);
            if index < self.links.len() {
                self.links[index].predecessor_open = false;
            }
        }
        self.successor_event(index, SuccessorEvent::StopRequested);
        let process = &mut self.processes[index];
        (process.accepts, process.leaves) = (false, true);
    }

    /// Ends the process, which closes its ends of links.
    pub fn end(&mut self, index: usize) {
        let process = &mut self.processes[index];
        (process.alive, process.accepts, process.hangs, process.signalled) = (false, false, false, false);
        if index > 0 {
            self.links[index - 1].successor_open = false;
        }
        if index < self.links.len() {
            self.links[index].predecessor_open = false;
        }
    }

    /// Returns whether one end of a link has a message, or the end of the link, to read.
    pub fn is_readable(&self, index: usize, at_predecessor: bool) -> bool {
        let link = &self.links[index];
        let (own_open, peer_open, messages) = match at_predecessor {
            true => (link.predecessor_open, link.successor_open, &link.to_predecessor),
            false => (link.successor_open, link.predecessor_open, &link.to_successor),
        };
        let peer = &self.processes[if at_predecessor { index + 1 } else { index }];
        // An end is told that the link was lost, and later that the other process died.
        let ended = link.severed || !peer_open;
        let reported = link.end_reported[usize::from(at_predecessor)];
        own_open && (!messages.is_empty() || (ended && (!reported || !peer.alive)))
    }

    /// Returns the next message for one end of a link, or `None` if the link has ended.
    pub fn read(&mut self, index: usize, at_predecessor: bool) -> Option<Message> {
        let link = &mut self.links[index];
        let messages = if at_predecessor { &mut link.to_predecessor } else { &mut link.to_successor };
        (!messages.is_empty()).then(|| messages.remove(0))
    }

    /// Records that one end was told of the link's end. Returns whether the process at the other end has
    /// died.
    pub fn link_ended(&mut self, index: usize, at_predecessor: bool) -> bool {
        let peer_died = !self.processes[if at_predecessor { index + 1 } else { index }].alive;
        let link = &mut self.links[index];
        link.end_reported[usize::from(at_predecessor)] = true;
        if peer_died {
            *(if at_predecessor { &mut link.predecessor_open } else { &mut link.successor_open }) = false;
        }
        peer_died
    }

    fn carry_out_as_predecessor(&mut self, index: usize, actions: &[PredecessorAction]) {
        for action in actions {
            match action {
                PredecessorAction::BackOff => {}
                // The process on standby for this one is no longer needed, and is told so first.
                PredecessorAction::Offer => self.successor_event(index, SuccessorEvent::HandoverStarted),
                PredecessorAction::Pause => {
                    self.processes[index].accepts = false;
                    self.send_to_successor(index, Message::Proceed);
                }
                PredecessorAction::Resume | PredecessorAction::Rollback => {
                    self.processes[index].accepts = true
                }
                PredecessorAction::Commit => self.send_to_successor(index, Message::Commit),
                PredecessorAction::Fence => {
                    self.processes[index + 1].fence();
                    self.fenced |= self.links[index].severed;
                    self.gave_up_on_accepting = true;
                }
                PredecessorAction::Cancel => {
                    let accepting =
                        self.processes[index + 1].successor_state() == Some(SuccessorState::Accepting);
                    self.gave_up_on_accepting |=
                        accepting || self.links[index].to_successor.contains(&Message::Proceed);
                    self.send_to_successor(index, Message::Cancel);
                    self.links[index].predecessor_open = false;
                }
                PredecessorAction::Depart => {
                    self.send_to_successor(index, Message::Departed);
                    self.links[index].predecessor_open = false;
                    self.processes[index].leaves = true;
                }
            }
        }
    }

    fn carry_out_as_successor(&mut self, index: usize, action: SuccessorAction) {
        match action {
            SuccessorAction::SendReady => drop(self.send_to_predecessor(index, Message::Ready)),
            SuccessorAction::SendAccepting => drop(self.send_to_predecessor(index, Message::Accepting)),
            SuccessorAction::Release => {
                let predecessor_open = self.links[index - 1].predecessor_open;
                if !self.send_to_predecessor(index, Message::Release) && predecessor_open {
                    self.processes[index - 1].fence();
                }
                self.links[index - 1].successor_open = false;
            }
            SuccessorAction::Decline => {
                self.send_to_predecessor(index, Message::Decline);
                self.links[index - 1].successor_open = false;
            }
            SuccessorAction::Accept => self.processes[index].accepts = true,
            SuccessorAction::TakeOwnership => {}
            SuccessorAction::TerminatePredecessor => self.processes[index - 1].fence(),
            SuccessorAction::Drain | SuccessorAction::Exit => {
                self.links[index - 1].successor_open = false;
                let process = &mut self.processes[index];
                (process.accepts, process.leaves) = (false, true);
            }
        }
    }

    /// Sends a message to the successor of the process at `index` if it can arrive.
    fn send_to_successor(&mut self, index: usize, message: Message) {
        let link = &mut self.links[index];
        if link.successor_open && !link.severed {
            link.to_successor.push(message);
        }
    }

    /// Sends a message to the predecessor of the process at `index`. Returns whether it can arrive.
    fn send_to_predecessor(&mut self, index: usize, message: Message) -> bool {
        let link = &mut self.links[index - 1];
        let arrives = link.predecessor_open && !link.severed;
        if arrives {
            link.to_predecessor.push(message);
        }
        arrives
    }
}
