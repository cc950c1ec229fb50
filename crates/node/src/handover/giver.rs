//! The end of the process that serves: it listens for a successor, and carries what [`decide::handover::Giver`] says.

use super::link::{Frame, Kind, Link, LinkError, MOST_DESCRIPTORS};
use super::{Ask, Cancel, Go, Offer, OfferedListener, State};
use crate::config::{HandOver, Listener};
use crate::log::log;
use decide::handover::GiverEvent;
use rustix::process::geteuid;
use std::fs::{remove_file, rename, set_permissions, Permissions};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// After a failed accept the next one waits: tried at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// A successor that is not wanted hears why within this, or just sees the link's end.
const CANCELLING: Duration = Duration::from_millis(200);

/// See the module's page.
#[derive(Debug)]
pub struct Giver {
    socket: UnixListener,
    pub settings: HandOver,
    link: Option<Successor>,
}

#[derive(Debug)]
struct Successor {
    link: Link,
    asked: bool,
    /// It has to take the next step by then.
    until: Instant,
}

impl Giver {
    /// Listens at this path, whoever did before: the socket takes the place of theirs in one step.
    pub fn bind(settings: HandOver) -> io::Result<Self> {
        let path = &settings.socket;
        let mut beside = path.clone().into_os_string();
        beside.push(format!(".{}", std::process::id()));
        // Of an earlier process of this number, if there is one.
        let _ = remove_file(&beside);
        let socket = UnixListener::bind(&beside)?;
        // Whoever gets the sockets gets the clients: nobody else may ask.
        set_permissions(&beside, Permissions::from_mode(0o600))?;
        rename(&beside, path)?;
        Ok(Self { socket, settings, link: None })
    }

    /// The next thing that happens. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self) -> GiverEvent {
        loop {
            let Some(successor) = &mut self.link else {
                match self.socket.accept().await {
                    Ok((stream, _)) if own(&stream) => {
                        let until = Instant::now() + self.settings.within;
                        self.link = Some(Successor { link: Link::new(stream), asked: false, until });
                    }
                    Ok(_) => log!("hand-over: refused to a process of another user"),
                    Err(error) => {
                        log!("hand-over: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
                continue;
            };
            let event = tokio::select! {
                frame = successor.link.next() => read(successor, frame),
                () = sleep_until(successor.until) => Ok(GiverEvent::Overdue),
            };
            let asked = successor.asked;
            match event {
                Ok(event) if asked => {
                    if event == GiverEvent::Broken {
                        log!("hand-over: the successor has gone");
                        self.link = None;
                    }
                    return event;
                }
                // It came and said nothing.
                Ok(_) => self.link = None,
                Err(error) if asked => {
                    log!("hand-over: the successor has gone: {error}");
                    self.link = None;
                    return GiverEvent::Broken;
                }
                Err(error) => {
                    log!("hand-over: no successor: {error}");
                    self.link = None;
                }
            }
        }
    }

    /// The process at the other end.
    pub fn successor(&self) -> Option<u32> {
        self.link.as_ref()?.link.process()
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
        self.send(Kind::Offer, &Offer { listeners, state: value(state) }, sockets);
    }

    /// Tells the successor to go on.
    pub fn go(&mut self, state: &State) {
        self.send(Kind::Go, &Go { state: value(state) }, Vec::new());
    }

    /// Ends the link, and tells the successor why.
    pub async fn cancel(&mut self, why: &str) {
        log!("hand-over: {why}; this process goes on");
        if let Some(mut successor) = self.link.take() {
            successor.link.queue(Kind::Cancel, &Cancel { why: why.to_owned() }, Vec::new());
            // One that takes nothing learns by the link's end that it is not wanted.
            let _ = timeout(CANCELLING, successor.link.flush()).await;
        }
    }

    /// Ends the link without a word, as the successor expects once it has all.
    pub fn close(&mut self) {
        self.link = None;
    }

    fn send(&mut self, kind: Kind, text: &impl serde::Serialize, sockets: Vec<OwnedFd>) {
        if let Some(successor) = &mut self.link {
            successor.link.queue(kind, text, sockets);
            successor.until = Instant::now() + self.settings.within;
        }
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

fn read(successor: &mut Successor, frame: Result<Option<Frame>, LinkError>) -> Result<GiverEvent, LinkError> {
    let Some(frame) = frame? else { return Ok(GiverEvent::Broken) };
    Ok(match frame.kind {
        Kind::Ask => {
            let Ask { program } = frame.read()?;
            log!("hand-over: asked for by version {program}");
            successor.asked = true;
            GiverEvent::Asked
        }
        Kind::Ready => GiverEvent::Ready,
        Kind::Taken => GiverEvent::Taken,
        // Words of its own: the other end is no successor.
        Kind::Offer | Kind::Go | Kind::Cancel => GiverEvent::Broken,
    })
}
