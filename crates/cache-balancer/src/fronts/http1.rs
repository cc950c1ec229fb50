//! The HTTP/1.1 front: reads requests, hands them to the driver, writes the answers, sees clients leave.

use crate::fronts::table::{Place, Table};
use crate::input::{Answer, Input, Taken};
use crate::log::log;
use crate::readiness::Readiness;
use crate::shutdown_phase::ShutdownPhase;
use crate::upstream::{Message, OpenIds, Owed, IDEMPOTENCY_KEY, LARGEST_BODY, REQ_DEADLINE, REQ_ID};
use balancer_core::{ClassId, Name, Settings, TenantId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hasher};
use std::io::ErrorKind;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout, Instant};

const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// Longest head that is read; a longer one is answered 431. With a body each it is the most that connections
/// can make the node hold.
const LARGEST_HEAD: usize = 16 << 10;
/// After a failed accept (no descriptor left, say) the next one waits: tried at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that the machine holds unaccepted at the most: the backlog that tokio asks for.
const ACCEPT_QUEUE: usize = 1024;
/// A full table in which nothing can give way yet is looked at again after this.
const ROOM_PAUSE: Duration = Duration::from_millis(10);
/// A connection that was asked to make room has done so by then, or never will.
const ROOM_WAIT: Duration = Duration::from_millis(100);

/// A class of requests, as a front has to know it.
pub struct Class {
    name: Name,
    id: ClassId,
    /// No client waits longer.
    deadline: Duration,
    /// To the driver of its pool.
    events: UnboundedSender<Input>,
}

impl Class {
    /// All of a pool, with the way to its driver.
    pub fn all<'a>(
        settings: &'a Settings,
        events: &'a UnboundedSender<Input>,
    ) -> impl Iterator<Item = Self> + 'a {
        settings.classes.iter().enumerate().map(|(place, class)| Self {
            name: class.name.clone(),
            id: ClassId(place),
            deadline: class.deadline,
            events: events.clone(),
        })
    }
}

/// Where requests go, as the configuration says. At a reload another takes its place as a whole.
pub struct Routes {
    pub classes: Vec<Class>,
    pub tenants: Vec<Name>,
}

/// What all connections of clients share.
pub struct Front {
    routes: RefCell<Rc<Routes>>,
    ready: Rc<Readiness>,
    tickets: Cell<u64>,
    pub table: Rc<Table>,
    /// Connections that it holds at the most, and a place for each.
    most: Cell<usize>,
    places: Arc<Semaphore>,
    /// Ids of the requests that are open, or have an attempt out.
    open: OpenIds,
}

impl Front {
    /// One for a process that may hold so many descriptors, with `most` connections of clients among them.
    pub fn new(routes: Routes, ready: Rc<Readiness>, descriptors: usize, most: usize) -> Self {
        Self {
            routes: RefCell::new(Rc::new(routes)),
            ready,
            tickets: Cell::new(0),
            table: Rc::new(Table::new(descriptors, most)),
            most: Cell::new(most),
            places: Arc::new(Semaphore::new(most)),
            open: OpenIds::default(),
        }
    }

    /// Other routes hold for what is taken from here on.
    pub fn route(&self, routes: Routes) {
        *self.routes.borrow_mut() = Rc::new(routes);
    }

    /// The process may hold so many descriptors from here on. What is over that ends with its connection.
    pub fn resize(&self, descriptors: usize, most: usize) {
        self.table.resize(descriptors, most);
        let before = self.most.replace(most);
        self.places.add_permits(most.saturating_sub(before));
        let (over, places) = (before.saturating_sub(most), self.places.clone());
        tokio::task::spawn_local(async move {
            // One by one, in turn with those who wait to be accepted: all at once, these would wait for the last.
            for _ in 0..over {
                // The semaphore is never closed.
                places.acquire().await.into_iter().for_each(SemaphorePermit::forget);
            }
        });
    }

    fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }
}

/// Accepts and serves until `stage` is that of closing. All listeners together hold the front's places; further connections wait
/// unaccepted.
pub async fn serve(listener: Rc<TcpListener>, stage: watch::Receiver<ShutdownPhase>, front: Rc<Front>) {
    let slots = front.places.clone();
    let mut watched = stage.clone();
    loop {
        let now = *watched.borrow_and_update();
        match now {
            ShutdownPhase::Serving | ShutdownPhase::Draining => {}
            ShutdownPhase::Paused | ShutdownPhase::StandingBy => {
                // The stage goes with the node only.
                let _ = watched.changed().await;
                continue;
            }
            ShutdownPhase::HandedOver => return,
            ShutdownPhase::Closing => break,
        }
        let accepted = tokio::select! {
            // What the machine has accepted by then is taken: it comes before the end.
            biased;
            accepted = accept(&listener, &slots, &front.table) => accepted,
            _ = watched.changed() => continue,
        };
        match accepted {
            Ok((stream, slot)) => spawn_connection(stream, slot, &stage, &front),
            Err(error) => {
                log!("accept: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    log!("no further clients are accepted");
    // What waits in the machine's queue by now was taken all the same: it is served as places become free.
    for _ in 0..ACCEPT_QUEUE {
        let Ok(slot) = slots.clone().acquire_owned().await else { break };
        match accept_waiting(&listener) {
            Ok(stream) => spawn_connection(stream, slot, &stage, &front),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => {}
        }
    }
}

/// Asks the machine itself, and not the runtime: what came since that was last polled would be reset with the listener.
fn accept_waiting(listener: &TcpListener) -> std::io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

fn spawn_connection(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    stage: &watch::Receiver<ShutdownPhase>,
    front: &Rc<Front>,
) {
    let (stage, front) = (stage.clone(), front.clone());
    // In the table at once: room that is made before it is first polled must see it.
    let place = Place::new(front.table.clone(), stream);
    tokio::task::spawn_local(async move {
        connection(place, stage, front).await;
        drop(slot);
    });
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    table: &Table,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    // Clients keep the connections they have: left idle, they would keep all others out of a full table, and
    // the machine takes requests on connections that the node has not accepted yet.
    let slot = loop {
        while slots.available_permits() == 0 && !table.make_room() {
            sleep(ROOM_PAUSE).await;
        }
        // The one that was to make room stays if a request meets it just then: another has to.
        if let Ok(slot) = timeout(ROOM_WAIT, slots.clone().acquire_owned()).await {
            break slot.map_err(std::io::Error::other)?;
        }
    };
    let (stream, _) = listener.accept().await?;
    Ok((stream, slot))
}

async fn connection(place: Place, stage: watch::Receiver<ShutdownPhase>, front: Rc<Front>) {
    let (place, front, stage) = (&place, &*front, &stage);
    let service = service_fn(|request: Request<Incoming>| {
        // Not in the future: hyper reads on before it polls that for the first time.
        place.asked(request.body().size_hint().lower() as usize);
        async move {
            let response = respond(front, place, stage, request).await;
            place.answered();
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(LARGEST_HEAD);
    let serving = http.serve_connection(place.watch(), service);
    place.drive(serving, |serving| serving.graceful_shutdown(), stage.clone()).await;
}

/// Tells the driver of a client that left: hyper drops the answer's future with its connection.
struct Waiting {
    ticket: u64,
    owed: Owed,
    events: UnboundedSender<Input>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            // At once, and not when the driver hears of it: no attempt begins in between.
            self.owed.end();
            // The driver may have gone with all that it had.
            let _ = self.events.send(Input::Left(self.ticket));
        }
    }
}

async fn respond(
    front: &Front,
    place: &Place,
    stage: &watch::Receiver<ShutdownPhase>,
    request: Request<Incoming>,
) -> Reply {
    let (mut response, usable) = match answer(front, place, stage, request).await {
        Ok(response) => (response, true),
        Err(rejected) => (rejected, false),
    };
    // A client that sends what can't be used comes again at once: not on this connection, where it would cost
    // the others the least of waits between two.
    if !usable || *stage.borrow() >= ShutdownPhase::StandingBy || !place.keeps() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

type Reply = Response<Full<Bytes>>;

async fn answer(
    front: &Front,
    place: &Place,
    stage: &watch::Receiver<ShutdownPhase>,
    request: Request<Incoming>,
) -> Result<Reply, Reply> {
    let at = Instant::now();
    let (head, body) = request.into_parts();
    let target =
        head.uri.path_and_query().cloned().ok_or_else(|| plain(StatusCode::BAD_REQUEST, "no path"))?;
    if target.path() == "/healthz" {
        return match head.method {
            Method::GET if front.ready.reached() && *stage.borrow() < ShutdownPhase::StandingBy => {
                Ok(plain(StatusCode::OK, "ready"))
            }
            Method::GET => Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
            _ => Err(wrong_method("GET")),
        };
    }
    let key = target.path().strip_prefix("/api/").and_then(|rest| rest.rsplit('/').next());
    let Some(key) = key.filter(|key| !key.is_empty()).map(key_number) else {
        return Err(plain(StatusCode::NOT_FOUND, "no such path"));
    };
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(wrong_method("GET, PUT"));
    }
    // hyper drops a length that stands beside it, and what the two disagree on may hide another request.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(plain(StatusCode::LENGTH_REQUIRED, "a body needs a Content-Length"));
    }
    let unusable = |what| plain(StatusCode::BAD_REQUEST, what);
    let routes = front.routes();
    let mut asked = read_head(&routes, &head.headers).map_err(unusable)?;
    let too_large = || plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than 64 KiB");
    if body.size_hint().lower() > LARGEST_BODY as u64 {
        return Err(too_large());
    }
    let body = match Limited::new(body, LARGEST_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(too_large()),
        Err(_) => return Err(plain(StatusCode::BAD_REQUEST, "the body broke off")),
    };
    // It is taken now, and not when its head came: what holds may have changed meanwhile.
    if !Rc::ptr_eq(&routes, &front.routes()) {
        asked = read_head(&front.routes(), &head.headers).map_err(unusable)?;
    }
    // Sent on, it would be a second copy of another client's request.
    let id =
        front.open.enter(asked.id).ok_or_else(|| plain(StatusCode::CONFLICT, "Req-Id is open already"))?;
    place.opened();
    let (method, idempotency_key, owed) = (head.method, asked.idempotency_key, Owed::new());
    let message = Message { method, target, id, idempotency_key, body, owed };
    Ok(hand_over(front, at, key, asked.terms, message).await)
}

/// What the headers of a request say.
struct Asked {
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    terms: Terms,
}

struct Terms {
    patience: Duration,
    class: ClassId,
    events: UnboundedSender<Input>,
    tenant: Option<TenantId>,
    expected_work: Option<Duration>,
    client_retry: bool,
}

fn read_head(routes: &Routes, headers: &HeaderMap) -> Result<Asked, &'static str> {
    let id = single(headers, &REQ_ID)?.filter(|id| !id.is_empty()).ok_or("no Req-Id")?;
    let class = text(headers, &REQ_KIND)?.ok_or("no Req-Kind")?;
    let class = routes.classes.iter().find(|known| known.name.as_str() == class).ok_or("unknown Req-Kind")?;
    let tenant = match text(headers, &REQ_OWNER)? {
        // Where there are no tenants, whatever stands there means nothing.
        _ if routes.tenants.is_empty() => None,
        None => return Err("no Req-Owner"),
        Some(owner) => {
            let place = routes.tenants.iter().position(|name| name.as_str() == owner);
            Some(TenantId(place.ok_or("unknown Req-Owner")?))
        }
    };
    // In 32 bits it is under 50 days and safe to add to a clock. No client waits longer than its class does,
    // and what the node holds for a request it would hold as long.
    let patience: u32 =
        number(headers, &REQ_DEADLINE, "unreadable Req-Deadline-Ms")?.ok_or("no Req-Deadline-Ms")?;
    let cost: Option<u32> = number(headers, &REQ_COST, "unreadable Req-Cost")?;
    Ok(Asked {
        id: id.clone(),
        idempotency_key: single(headers, &IDEMPOTENCY_KEY)?.cloned(),
        terms: Terms {
            patience: Duration::from_millis(patience.into()).min(class.deadline),
            class: class.id,
            events: class.events.clone(),
            tenant,
            expected_work: cost.map(|us| Duration::from_micros(us.into())),
            client_retry: text(headers, &REQ_RETRY)? == Some("1"),
        },
    })
}

/// A header that must not stand twice: the two ends could each go by another one.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.next().map_or(Ok(first), |_| Err("a header stands twice"))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, &'static str> {
    single(headers, name)?.map(|value| value.to_str().map_err(|_| "unreadable header")).transpose()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    error: &'static str,
) -> Result<Option<T>, &'static str> {
    text(headers, name)?.map(|text| text.parse().map_err(|_| error)).transpose()
}

/// Keys are 64-bit numbers in hexadecimal; any other name goes by its hash, the same at every node.
fn key_number(name: &str) -> u64 {
    u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    })
}

async fn hand_over(front: &Front, at: Instant, key: u64, terms: Terms, message: Message) -> Reply {
    let ticket = front.tickets.replace(front.tickets.get() + 1);
    let owed = message.owed.clone();
    let (sender, receiver) = oneshot::channel();
    let taken = Taken {
        ticket,
        at,
        patience: terms.patience,
        class: terms.class,
        tenant: terms.tenant,
        key: Some(key),
        expected_work: terms.expected_work,
        write: message.method == Method::PUT,
        client_retry: terms.client_retry,
        message,
        answer: sender,
    };
    // The driver only goes when nothing leads to it any more; its silence is a failure all the same.
    let _ = terms.events.send(Input::Taken(Box::new(taken)));
    let mut waiting = Waiting { ticket, owed, events: terms.events, answered: false };
    let answer = receiver.await.unwrap_or(Answer::Failed);
    waiting.answered = true;
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused: try again later");
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn wrong_method(allowed: &'static str) -> Reply {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
