//! The hand-over, tried in every order that deaths, hangs, cuts, stops and words on the link can come in: a process, its
//! successor, and the successor's own.

use balancer_core::handover::{Giver, GiverAction, GiverEvent, Giving, Taker, TakerAction, TakerEvent};
use stateright::{Checker, Model, Property};

/// A word on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Ready,
    Go,
    Taken,
    Yours,
    Left,
    Free,
    Declined,
    Cancel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    giver: Giver,
    /// `None` for the one that began by itself.
    taker: Option<Taker>,
    alive: bool,
    accepts: bool,
    /// It has left, given up or was told to stop: it finishes what it took, and ends.
    leaves: bool,
    /// It reads nothing for now.
    hangs: bool,
    /// A signal to stop that it has not seen yet: from whoever minds it, or from its giver.
    signalled: bool,
    fenced: bool,
}

impl Process {
    fn new(taker: Option<Taker>) -> Self {
        Self {
            giver: Giver::default(),
            alive: true,
            accepts: taker.is_none(),
            taker,
            leaves: false,
            hangs: false,
            signalled: false,
            fenced: false,
        }
    }

    fn owns(&self) -> bool {
        self.taker.is_none_or(|taker| matches!(taker, Taker::OnProbation | Taker::Owning))
    }
}

/// The link of a process, the upper end, with its successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    upper: bool,
    lower: bool,
    up: Vec<Word>,
    down: Vec<Word>,
    /// Cut, with both ends held open by those who live.
    severed: bool,
    /// Each end was told that the link has ended.
    told: [bool; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    processes: Vec<Process>,
    links: Vec<Link>,
    left: Budget,
    /// A giver gave up on a taker that accepts, or is just about to.
    overtaken: bool,
    /// Somebody was told to stop who served, or was about to.
    stopped: bool,
    /// A giver that stood by accepted again when its successor had died.
    taken_back: bool,
    fenced: bool,
}

/// What may still go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    successors: u8,
    deaths: u8,
    hangs: u8,
    cuts: u8,
    stops: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Asks(usize),
    Prepared(usize),
    UpperReads(usize),
    LowerReads(usize),
    Overdue(usize),
    Stop(usize),
    Signal(usize),
    Dies(usize),
    Ends(usize),
    Hangs(usize),
    Recovers(usize),
    /// What was written before comes still, as on a stream socket.
    Cut(usize),
}

impl System {
    fn give(&mut self, place: usize, actions: &[GiverAction]) {
        for action in actions {
            match action {
                GiverAction::Bar => {}
                // Whoever stands by for this one is not needed any more, and hears so before anything else happens.
                GiverAction::Offer => self.tell_taker(place, TakerEvent::Giving),
                GiverAction::Pause => {
                    self.processes[place].accepts = false;
                    self.say(place, Word::Go);
                }
                GiverAction::Resume | GiverAction::TakeBack => self.processes[place].accepts = true,
                GiverAction::StandBy => self.say(place, Word::Yours),
                GiverAction::Fence => {
                    let successor = &mut self.processes[place + 1];
                    (successor.signalled, successor.fenced) = (successor.alive, true);
                    self.fenced |= self.links[place].severed;
                    self.overtaken = true;
                }
                GiverAction::Cancel => {
                    let accepting = self.processes[place + 1].taker == Some(Taker::Accepting);
                    self.overtaken |= accepting || self.links[place].down.contains(&Word::Go);
                    self.say(place, Word::Cancel);
                    self.links[place].upper = false;
                }
                GiverAction::Leave => {
                    self.say(place, Word::Left);
                    self.links[place].upper = false;
                    self.processes[place].leaves = true;
                }
            }
        }
    }

    /// The giver's word to its successor, if it gets there.
    fn say(&mut self, place: usize, word: Word) {
        let link = &mut self.links[place];
        if link.lower && !link.severed {
            link.down.push(word);
        }
    }

    fn tell_giver(&mut self, place: usize, event: GiverEvent) {
        let actions = self.processes[place].giver.handle(event);
        self.give(place, actions);
    }

    fn tell_taker(&mut self, place: usize, event: TakerEvent) {
        let Some(taker) = &mut self.processes[place].taker else { return };
        for action in taker.handle(event) {
            let link = &mut self.links[place - 1];
            match action {
                TakerAction::SayReady | TakerAction::SayTaken => {
                    if link.upper && !link.severed {
                        let word = if *action == TakerAction::SayReady { Word::Ready } else { Word::Taken };
                        link.up.push(word);
                    }
                }
                TakerAction::SayFree | TakerAction::SayDeclined => {
                    let word = if *action == TakerAction::SayFree { Word::Free } else { Word::Declined };
                    if link.upper && !link.severed {
                        link.up.push(word);
                    } else if link.upper && word == Word::Free {
                        let giver = &mut self.processes[place - 1];
                        (giver.signalled, giver.fenced) = (giver.alive, true);
                    }
                    link.lower = false;
                }
                TakerAction::Accept => self.processes[place].accepts = true,
                TakerAction::Own => {}
                TakerAction::Dismiss => {
                    let giver = &mut self.processes[place - 1];
                    (giver.signalled, giver.fenced) = (giver.alive, true);
                }
                TakerAction::Withdraw | TakerAction::End => {
                    link.lower = false;
                    let process = &mut self.processes[place];
                    (process.accepts, process.leaves) = (false, true);
                }
            }
        }
    }

    /// It is told to stop.
    fn stop(&mut self, place: usize) {
        let process = &self.processes[place];
        self.stopped |= !process.fenced;
        if process.owns() {
            let actions = self.processes[place].giver.stop();
            self.give(place, actions);
            if place < self.links.len() {
                self.links[place].upper = false;
            }
        }
        self.tell_taker(place, TakerEvent::Stop);
        let process = &mut self.processes[place];
        (process.accepts, process.leaves) = (false, true);
    }

    /// The process has ended, and with it its ends of links.
    fn end(&mut self, place: usize) {
        let process = &mut self.processes[place];
        (process.alive, process.accepts, process.hangs, process.signalled) = (false, false, false, false);
        if place > 0 {
            self.links[place - 1].lower = false;
        }
        if place < self.links.len() {
            self.links[place].upper = false;
        }
    }

    fn more_to_read(&self, place: usize, upper: bool) -> bool {
        let link = &self.links[place];
        let (own, other, words) =
            if upper { (link.upper, link.lower, &link.up) } else { (link.lower, link.upper, &link.down) };
        let peer = &self.processes[if upper { place + 1 } else { place }];
        // An end is told that it was cut, and of a death after that.
        let over = link.severed || !other;
        own && (!words.is_empty() || (over && (!link.told[usize::from(upper)] || !peer.alive)))
    }

    /// The next word or the link's end, for its upper or lower end.
    fn read(&mut self, place: usize, upper: bool) -> Option<Word> {
        let link = &mut self.links[place];
        let words = if upper { &mut link.up } else { &mut link.down };
        (!words.is_empty()).then(|| words.remove(0))
    }

    /// A link has ended: whether the process at the other end has.
    fn ended(&mut self, place: usize, upper: bool) -> bool {
        let dead = !self.processes[if upper { place + 1 } else { place }].alive;
        let link = &mut self.links[place];
        link.told[usize::from(upper)] = true;
        if dead {
            *(if upper { &mut link.upper } else { &mut link.lower }) = false;
        }
        dead
    }
}

/// What may go wrong in a run.
struct Handover(Budget);

impl Model for Handover {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        vec![System {
            processes: vec![Process::new(None)],
            links: Vec::new(),
            left: self.0,
            overtaken: false,
            stopped: false,
            taken_back: false,
            fenced: false,
        }]
    }

    fn actions(&self, state: &System, steps: &mut Vec<Step>) {
        let last = state.processes.len() - 1;
        for (place, process) in state.processes.iter().enumerate().filter(|(_, process)| process.alive) {
            if state.left.deaths > 0 {
                steps.push(Step::Dies(place));
            }
            if process.hangs {
                steps.push(Step::Recovers(place));
                continue;
            }
            if state.left.hangs > 0 {
                steps.push(Step::Hangs(place));
            }
            if process.leaves {
                steps.push(Step::Ends(place));
                continue;
            }
            // A signal comes before all else.
            if process.signalled {
                steps.push(Step::Signal(place));
                continue;
            }
            if state.left.stops > 0 {
                steps.push(Step::Stop(place));
            }
            if place == last
                && state.left.successors > 0
                && process.owns()
                && process.giver.giving() == Giving::Serving
            {
                steps.push(Step::Asks(place));
            }
            if place < last && process.giver.giving() != Giving::Serving {
                if state.more_to_read(place, true) {
                    steps.push(Step::UpperReads(place));
                }
                if state.links[place].upper {
                    steps.push(Step::Overdue(place));
                }
            }
            if place > 0 {
                if state.more_to_read(place - 1, false) {
                    steps.push(Step::LowerReads(place));
                }
                if process.taker == Some(Taker::Preparing) {
                    steps.push(Step::Prepared(place));
                }
            }
        }
        if state.left.cuts > 0 {
            for (place, link) in state.links.iter().enumerate() {
                if link.upper && link.lower && !link.severed {
                    steps.push(Step::Cut(place));
                }
            }
        }
    }

    fn next_state(&self, before: &System, step: Step) -> Option<System> {
        let mut state = before.clone();
        match step {
            Step::Asks(place) => {
                state.left.successors -= 1;
                state.processes.push(Process::new(Some(Taker::default())));
                let (up, down) = (Vec::new(), Vec::new());
                state.links.push(Link {
                    upper: true,
                    lower: true,
                    up,
                    down,
                    severed: false,
                    told: [false; 2],
                });
                state.tell_giver(place, GiverEvent::Asked);
            }
            Step::Prepared(place) => state.tell_taker(place, TakerEvent::Prepared),
            Step::UpperReads(place) => {
                let event = match state.read(place, true) {
                    Some(Word::Ready) => GiverEvent::Ready,
                    Some(Word::Taken) => GiverEvent::Taken,
                    Some(Word::Free) => GiverEvent::Freed,
                    Some(Word::Declined) => GiverEvent::Declined,
                    Some(Word::Go | Word::Yours | Word::Left | Word::Cancel) => return None,
                    None if state.ended(place, true) => GiverEvent::Died,
                    None => GiverEvent::Cut,
                };
                // A word after which nothing more is heard ends the link.
                if matches!(event, GiverEvent::Freed | GiverEvent::Declined) {
                    state.links[place].upper = false;
                }
                let stood_by = state.processes[place].giver.giving() == Giving::StandingBy;
                state.tell_giver(place, event);
                state.taken_back |= event == GiverEvent::Died && stood_by && state.processes[place].accepts;
            }
            Step::LowerReads(place) => {
                let event = match state.read(place - 1, false) {
                    Some(Word::Go) => TakerEvent::Go,
                    Some(Word::Yours) => TakerEvent::Yours,
                    Some(Word::Left) => TakerEvent::Left,
                    Some(Word::Cancel) => TakerEvent::Cancelled,
                    Some(_) => return None,
                    None if state.ended(place - 1, false) => TakerEvent::Died,
                    None => TakerEvent::Cut,
                };
                state.tell_taker(place, event);
            }
            Step::Overdue(place) => state.tell_giver(place, GiverEvent::Overdue),
            Step::Stop(place) => {
                state.left.stops -= 1;
                state.processes[place].signalled = true;
            }
            Step::Signal(place) => {
                state.processes[place].signalled = false;
                state.stop(place);
            }
            Step::Dies(place) => {
                state.left.deaths -= 1;
                state.end(place);
            }
            Step::Ends(place) => state.end(place),
            Step::Hangs(place) => {
                state.left.hangs -= 1;
                state.processes[place].hangs = true;
            }
            Step::Recovers(place) => state.processes[place].hangs = false,
            Step::Cut(place) => {
                state.left.cuts -= 1;
                state.links[place].severed = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn accepting(state: &System) -> usize {
            state.processes.iter().filter(|process| process.accepts).count()
        }
        /// Nothing more happens by itself.
        fn settled(model: &Handover, state: &System) -> bool {
            let mut steps = Vec::new();
            model.actions(state, &mut steps);
            !steps.iter().any(|step| {
                matches!(
                    step,
                    Step::UpperReads(_)
                        | Step::LowerReads(_)
                        | Step::Prepared(_)
                        | Step::Recovers(_)
                        | Step::Signal(_)
                        | Step::Ends(_)
                )
            })
        }
        vec![
            Property::always(
                "never do two accept, but where a giver gave up on a hung or cut off taker",
                |_, state: &System| accepting(state) <= 1 || state.overtaken,
            ),
            Property::always("never do two accept for good", |model, state: &System| {
                !settled(model, state) || accepting(state) <= 1
            }),
            Property::always(
                "while somebody lives and nobody was told to stop, somebody accepts in the end",
                |model, state: &System| {
                    let lives = state.processes.iter().any(|process| process.alive && !process.leaves);
                    !settled(model, state) || state.stopped || !lives || accepting(state) == 1
                },
            ),
            Property::always("whoever accepts was not told to leave", |_, state: &System| {
                state.processes.iter().all(|process| !(process.accepts && process.leaves))
            }),
            Property::sometimes("a successor owns and its giver has left", |_, state: &System| {
                let [first, second, ..] = &state.processes[..] else { return false };
                second.taker == Some(Taker::Owning) && first.giver.giving() == Giving::Left && !state.stopped
            }),
            Property::sometimes("a giver takes back after a death", |_, state: &System| state.taken_back),
            Property::sometimes("a taker goes on after its giver died", |_, state: &System| {
                let [first, second, ..] = &state.processes[..] else { return false };
                !first.alive && !first.leaves && second.owns() && second.accepts
            }),
            Property::sometimes("a taker that was cut off is fenced after a cut", |_, state: &System| {
                state.fenced && state.processes[1].leaves
            }),
            Property::sometimes("a third process owns and the first has left", |_, state: &System| {
                let [first, _, third] = &state.processes[..] else { return false };
                third.owns() && third.accepts && first.giver.giving() == Giving::Left && !state.stopped
            }),
        ]
    }
}

#[test]
fn every_order_of_words_deaths_hangs_cuts_and_stops_leaves_the_clients_with_one_of_those_who_live() {
    let quiet = Budget { successors: 2, deaths: 0, hangs: 0, cuts: 0, stops: 0 };
    let budgets = [
        quiet,
        Budget { deaths: 2, ..quiet },
        Budget { deaths: 1, hangs: 1, ..quiet },
        Budget { deaths: 1, cuts: 1, ..quiet },
        Budget { hangs: 1, cuts: 1, ..quiet },
        Budget { deaths: 1, stops: 1, ..quiet },
        Budget { deaths: 2, hangs: 1, cuts: 1, ..quiet },
        Budget { deaths: 1, hangs: 1, cuts: 1, stops: 1, ..quiet },
        Budget { hangs: 1, stops: 1, ..quiet },
        Budget { cuts: 1, stops: 1, ..quiet },
    ];
    for budget in budgets {
        let checker = Handover(budget).checker().spawn_bfs().join();
        for property in Handover(budget).properties() {
            let found = checker.discovery(property.name).map(stateright::Path::into_actions);
            let possible = match property.name {
                // Cut off, one that stops in order looks as if it had died.
                "a giver takes back after a death" => {
                    budget.deaths > 0 || (budget.cuts > 0 && budget.stops > 0)
                }
                "a taker goes on after its giver died" => budget.deaths > 0,
                "a taker that was cut off is fenced after a cut" => budget.cuts > 0,
                _ => true,
            };
            let wanted = property.expectation == stateright::Expectation::Sometimes && possible;
            assert_eq!(found.is_some(), wanted, "{budget:?}, {}: {found:?}", property.name);
        }
        println!("{budget:?}: {} states", checker.unique_state_count());
    }
}

/// What a giver says to do at each of these, all together, and what it is at then.
fn given(events: &[GiverEvent]) -> (Giving, Vec<GiverAction>) {
    let mut giver = Giver::default();
    let actions = events.iter().flat_map(|event| giver.handle(*event)).copied().collect();
    (giver.giving(), actions)
}

#[test]
fn a_second_successor_and_words_out_of_order_leave_the_giver_serving() {
    use GiverEvent::{Asked, Cut, Declined, Died, Freed, Overdue, Ready, Taken};
    let cases: [(&[GiverEvent], &[GiverAction]); 9] = [
        (&[Ready], &[]),
        (&[Taken], &[]),
        (&[Asked, Taken], &[GiverAction::Offer, GiverAction::Cancel]),
        (&[Asked, Freed], &[GiverAction::Offer, GiverAction::Cancel]),
        (&[Asked, Asked], &[GiverAction::Offer, GiverAction::Cancel]),
        (&[Asked, Overdue, Ready], &[GiverAction::Offer, GiverAction::Cancel]),
        (&[Asked, Declined, Cut], &[GiverAction::Offer]),
        (
            &[Asked, Ready, Ready],
            &[
                GiverAction::Offer,
                GiverAction::Pause,
                GiverAction::Cancel,
                GiverAction::Fence,
                GiverAction::Resume,
            ],
        ),
        (&[Asked, Ready, Died, Taken], &[GiverAction::Offer, GiverAction::Pause, GiverAction::Resume]),
    ];
    for (events, expected) in cases {
        assert_eq!(given(events), (Giving::Serving, expected.to_vec()), "{events:?}");
        // The next successor is as welcome as the first.
        let again: Vec<_> = events.iter().copied().chain([Asked]).collect();
        assert_eq!(given(&again).1.last(), Some(&GiverAction::Offer));
    }
}

// Guards against a bad program that is let in again and again, each time with the clients that it takes down.
#[test]
fn two_successors_that_die_with_the_clients_bar_a_third_until_they_are_forgiven() {
    use GiverEvent::{Asked, Declined, Died, Forgiven, Ready, Taken};
    let (on_probation, paused): ([_; 4], [_; 3]) = ([Asked, Ready, Taken, Died], [Asked, Ready, Died]);
    for first in [&on_probation[..], &paused[..]] {
        for second in [&on_probation[..], &paused[..]] {
            let mut giver = Giver::default();
            assert!(!first.iter().any(|event| giver.handle(*event).contains(&GiverAction::Bar)));
            // Those that die before they had a client, or give up, do not count.
            for event in [Asked, Died, Asked, Ready, Declined, Asked, Ready, Taken, Declined] {
                giver.handle(event);
            }
            assert!(!giver.barred());
            let last = second.iter().map(|event| giver.handle(*event)).last().unwrap();
            assert!(
                matches!(last, [GiverAction::Resume | GiverAction::TakeBack, GiverAction::Bar]),
                "{last:?}"
            );
            assert_eq!(giver.handle(Asked), [GiverAction::Cancel]);
            assert_eq!(giver.handle(Forgiven), []);
            assert_eq!(giver.handle(Asked), [GiverAction::Offer]);
        }
    }
}
