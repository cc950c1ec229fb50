//! The end of the process that serves: it listens for a successor, and carries what [`balancer_core::handover::Giver`] says.

use super::link::{Frame, Kind, Link, LinkError, MOST_DESCRIPTORS};
use super::other::Other;
use super::{Ask, Cancel, Go, Offer, OfferedListener, State};
use crate::config::{HandOver, Listener};
use crate::log::log;
use balancer_core::handover::GiverEvent;
use rustix::process::{geteuid, Signal};
use std::fs::{remove_file, rename, set_permissions, Permissions};
use std::future::pending;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// After a failed accept the next one waits: tried at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// A successor that is not wanted hears why within this, or just sees the link's end.
const LAST_WORD: Duration = Duration::from_millis(200);

/// See the module's page.
#[derive(Debug)]
pub struct Giver {
    /// `None` while the successor has one of its own at the same path.
    socket: Option<UnixListener>,
    pub settings: HandOver,
    successor: Option<Successor>,
    /// Successors are turned away until then.
    barred: Option<Instant>,
}

#[derive(Debug)]
struct Successor {
    /// `None` once it has ended.
    link: Option<Link>,
    process: Other,
    asked: bool,
    /// It knows of probation.
    probation: bool,
    /// It has taken the clients, and knows nothing of probation: it serves for good.
    free: bool,
    /// That the link was cut was said.
    cut: bool,
    /// It has to take the next step by then.
    until: Option<Instant>,
}

impl Successor {
    fn new(stream: UnixStream, within: Duration) -> Self {
        let link = Link::new(stream);
        Self {
            process: Other::new(link.process()),
            link: Some(link),
            asked: false,
            probation: false,
            free: false,
            cut: false,
            until: Some(Instant::now() + within),
        }
    }

    /// The next thing that it says, or that happens to it.
    async fn next(&mut self) -> Result<GiverEvent, LinkError> {
        if self.free {
            return Ok(GiverEvent::Freed);
        }
        if let Some(link) = &mut self.link {
            let overdue = async {
                match self.until {
                    Some(until) => sleep_until(until).await,
                    None => pending().await,
                }
            };
            let frame = tokio::select! {
                frame = link.next() => frame,
                () = overdue => return Ok(GiverEvent::Overdue),
            };
            match frame {
                Ok(Some(frame)) => return self.read(&frame),
                // What comes of it is told below, also where this is dropped meanwhile.
                Ok(None) => self.link = None,
                Err(error) => {
                    self.link = None;
                    return Err(error);
                }
            }
        }
        Ok(self.gone().await)
    }

    /// What the link's end means, now that it has ended.
    async fn gone(&mut self) -> GiverEvent {
        if !self.probation {
            return GiverEvent::Died;
        }
        if !self.cut && !self.process.has_died().await {
            self.cut = true;
            return GiverEvent::Cut;
        }
        self.process.ended().await;
        GiverEvent::Died
    }

    fn read(&mut self, frame: &Frame) -> Result<GiverEvent, LinkError> {
        Ok(match frame.kind {
            Kind::Ask => {
                let Ask { program, probation } = frame.read()?;
                log!("hand-over: asked for by version {program}");
                (self.asked, self.probation) = (true, probation);
                GiverEvent::Asked
            }
            Kind::Ready => GiverEvent::Ready,
            Kind::Taken => {
                self.free = !self.probation;
                GiverEvent::Taken
            }
            Kind::Free => GiverEvent::Freed,
            // Words of a giver's: the other end is no successor.
            Kind::Declined | Kind::Offer | Kind::Go | Kind::Cancel | Kind::Yours | Kind::Left => {
                GiverEvent::Declined
            }
        })
    }
}

impl Giver {
    /// Listens at this path, whoever did before: the socket takes the place of theirs in one step.
    pub fn bind(settings: HandOver) -> io::Result<Self> {
        let socket = Some(listen(&settings)?);
        Ok(Self { socket, settings, successor: None, barred: None })
    }

    /// The next thing that happens. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self) -> GiverEvent {
        loop {
            let Some(successor) = &mut self.successor else {
                let accepted = tokio::select! {
                    accepted = accept(self.socket.as_ref()) => accepted,
                    () = passed(self.barred) => {
                        self.barred = None;
                        return GiverEvent::Forgiven;
                    }
                };
                match accepted {
                    Ok(stream) if own(&stream) => {
                        self.successor = Some(Successor::new(stream, self.settings.within));
                    }
                    Ok(_) => log!("hand-over: refused to a process of another user"),
                    Err(error) => {
                        log!("hand-over: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
                continue;
            };
            match successor.next().await {
                Ok(event) if successor.asked => return event,
                // It came and said nothing.
                Ok(_) => self.successor = None,
                Err(error) => {
                    log!("hand-over: no word of the successor's: {error}");
                    if !successor.asked {
                        self.successor = None;
                    }
                }
            }
        }
    }

    /// The process at the other end.
    pub fn successor(&self) -> Option<u32> {
        self.successor.as_ref()?.process.id
    }

    /// Sends sockets, each beside its listener, and what is known.
    pub fn offer(&mut self, listeners: Vec<(Listener, OwnedFd)>, state: &State) {
        let over = listeners.len().saturating_sub(MOST_DESCRIPTORS);
        if over > 0 {
            log!("hand-over: {over} listeners are too many to pass; the successor opens them itself");
        }
        let (listeners, sockets): (Vec<_>, Vec<_>) = listeners
            .into_iter()
            .take(MOST_DESCRIPTORS)
            .map(|(Listener { name, address }, socket)| (OfferedListener { name, address }, socket))
            .unzip();
        let offer = Offer { listeners, state: value(state), probation: true };
        self.send(Kind::Offer, &offer, sockets);
    }

    /// Tells the successor to go on.
    pub fn go(&mut self, state: &State) {
        self.send(Kind::Go, &Go { state: value(state) }, Vec::new());
    }

    /// Tells the successor that the clients are its own. It has a socket at the path itself from here on.
    pub fn stand_by(&mut self) {
        self.socket = None;
        if let Some(successor) = &mut self.successor {
            successor.until = None;
            if let Some(link) = successor.link.as_mut().filter(|_| successor.probation) {
                link.queue(Kind::Yours, &(), Vec::new());
            }
        }
    }

    /// Listens at the path again, whoever did meanwhile.
    pub fn take_back(&mut self) {
        self.close();
        match listen(&self.settings) {
            Ok(socket) => self.socket = Some(socket),
            // This process serves: that comes first.
            Err(error) => log!("hand-over: nobody can take over: {error}"),
        }
    }

    /// Turns successors away for a while.
    pub fn bar(&mut self) {
        self.barred = Some(Instant::now() + self.settings.bar);
        log!(
            "hand-over: two successors have died with clients in their hands; none is let in for {:?}",
            self.settings.bar
        );
    }

    /// How much longer successors are turned away.
    pub fn barred(&self) -> Option<Duration> {
        self.barred.map(|until| until.saturating_duration_since(Instant::now()))
    }

    /// Ends the link, and tells the successor why.
    pub async fn cancel(&mut self, why: &str) {
        log!("hand-over: {why}; this process goes on");
        self.say_last(Kind::Cancel, &Cancel { why: why.to_owned() }).await;
    }

    /// Ends the link, and tells the successor that this process leaves.
    pub async fn leave(&mut self) {
        match self.successor.as_ref().is_some_and(|successor| successor.probation) {
            true => self.say_last(Kind::Left, &()).await,
            // By the link's end alone.
            false => self.close(),
        }
    }

    /// Sends the successor a signal, past the link.
    pub fn signal(&self, signal: Signal) {
        // In versions without probation the link's end is enough.
        if let Some(successor) = self.successor.as_ref().filter(|successor| successor.probation) {
            if let Err(error) = successor.process.signal(signal) {
                log!("hand-over: the successor is not told: {error}");
            }
        }
    }

    /// Ends the link without a word.
    pub fn close(&mut self) {
        self.successor = None;
    }

    async fn say_last(&mut self, kind: Kind, text: &impl serde::Serialize) {
        if let Some(link) = self.successor.as_mut().and_then(|successor| successor.link.as_mut()) {
            link.queue(kind, text, Vec::new());
            // One that takes nothing learns by the link's end.
            let _ = timeout(LAST_WORD, link.flush()).await;
        }
        if let Some(successor) = &mut self.successor {
            successor.link = None;
        }
    }

    fn send(&mut self, kind: Kind, text: &impl serde::Serialize, sockets: Vec<OwnedFd>) {
        if let Some(successor) = &mut self.successor {
            successor.until = Some(Instant::now() + self.settings.within);
            if let Some(link) = &mut successor.link {
                link.queue(kind, text, sockets);
            }
        }
    }
}

fn listen(settings: &HandOver) -> io::Result<UnixListener> {
    let path = &settings.socket;
    let mut beside = path.clone().into_os_string();
    beside.push(format!(".{}", std::process::id()));
    // Of an earlier process of this number, if there is one.
    let _ = remove_file(&beside);
    let socket = UnixListener::bind(&beside)?;
    // Whoever gets the sockets gets the clients: nobody else may ask.
    set_permissions(&beside, Permissions::from_mode(0o600))?;
    rename(&beside, path)?;
    Ok(socket)
}

async fn accept(socket: Option<&UnixListener>) -> io::Result<UnixStream> {
    match socket {
        Some(socket) => Ok(socket.accept().await?.0),
        None => pending().await,
    }
}

async fn passed(until: Option<Instant>) {
    match until {
        Some(until) => sleep_until(until).await,
        None => pending().await,
    }
}

/// Whether this program's own user has the other end.
fn own(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|other| other.uid() == geteuid().as_raw())
}

fn value(state: &State) -> serde_json::Value {
    // Texts and numbers: it can be written.
    serde_json::to_value(state).unwrap_or_default()
}
