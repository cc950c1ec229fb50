//! Clients and the front before the nodes, on sockets.

use super::{cache, demand, Sent, World};
use crate::conduct;
use crate::ledger::{Answer, Fact, TryId, TOLERANCE};
use balancer_core::Timestamp;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};

/// A connection to a node. Dropped, it closes, with an answer under way too.
struct Link {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections, by node's address.
type Pool = Rc<RefCell<HashMap<SocketAddr, Vec<Link>>>>;

/// Asks all that the script has, each at its time, and waits for what comes of it.
pub async fn all(world: Rc<World>) {
    world.state.borrow_mut().asks = demand(&world);
    let pool = Pool::default();
    let mut wishes = JoinSet::new();
    let count = world.state.borrow().asks.len();
    for number in 0..count {
        let (at, class) = {
            let ask = &world.state.borrow().asks[number];
            (ask.at, ask.class)
        };
        sleep_until(world.begun.get() + at).await;
        world.note(Fact::Asked { ask: number as u64, at: Timestamp::default() + at, class });
        wishes.spawn_local(wish(world.clone(), pool.clone(), number));
    }
    while wishes.join_next().await.is_some() {}
    sleep(TOLERANCE).await;
}

async fn wish(world: Rc<World>, pool: Pool, number: usize) {
    let mut tries = 0;
    loop {
        let ask = world.state.borrow().asks[number].clone();
        match try_once(&world, &pool, number, tries).await {
            Heard::Served => return world.note(Fact::Served { ask: number as u64, at: world.now() }),
            Heard::Left => return,
            Heard::Nothing { away } => {
                let Some(wait) = conduct::again(&world.script, &ask, tries, world.since_start(), away) else {
                    return;
                };
                sleep(wait).await;
                tries += 1;
            }
        }
    }
}

/// What a try came to for its client.
enum Heard {
    Served,
    Left,
    Nothing { away: Duration },
}

/// The node that the front deals a try to.
fn front(world: &World, zone: usize, chance: u64) -> Option<(usize, SocketAddr)> {
    let (nodes, zones) = (world.nodes.borrow(), world.script.zones.len());
    (0..zones).find_map(|step| {
        let near =
            (0..nodes.len()).filter(|node| node % zones == (zone + step) % zones && nodes[*node].fronted);
        let near: Vec<usize> = near.collect();
        let node = *near.get((chance % near.len().max(1) as u64) as usize)?;
        Some((node, nodes[node].address?))
    })
}

async fn try_once(world: &Rc<World>, pool: &Pool, number: usize, tries: u32) -> Heard {
    let ask = world.state.borrow().asks[number].clone();
    let draw = ask.of_try(tries);
    let patience = conduct::patience(&world.script, &ask, world.since_start());
    let until = world.now() + patience;
    let leaves = conduct::leaves(&world.script, draw, patience);
    let Some((node, address)) = front(world, ask.zone, draw.on(1).bits()) else {
        return Heard::Nothing { away: Duration::ZERO };
    };
    let request = {
        let mut state = world.state.borrow_mut();
        state.tries.push(Sent { ask: number, number: tries, node, attempts: 0 });
        state.tries.len() as u64 - 1
    };
    let question = Question { request, ask: number as u64, node, address, until, patience };
    let (asker, pool) = (world.clone(), pool.clone());
    let mut asking = spawn_local(async move {
        sleep(conduct::client_way(&asker.script.network, draw.on(2))).await;
        let answer = exchange(&asker, &pool, question).await;
        sleep(conduct::client_way(&asker.script.network, draw.on(7))).await;
        answer
    });
    let leaving = async {
        match leaves {
            Some(after) => sleep(after).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        answer = &mut asking => match answer {
            Ok(Some((Answer::Served, _))) => Heard::Served,
            Ok(Some((_, away))) => Heard::Nothing { away },
            _ => Heard::Nothing { away: Duration::ZERO },
        },
        () = leaving => {
            asking.abort();
            world.note(Fact::Left { request });
            Heard::Left
        }
        () = sleep_until(world.instant(until)) => {
            // An answer that is on its way is still the node's: the judge hears it, the client does not.
            spawn_local(async move {
                if timeout(TOLERANCE, &mut asking).await.is_err() {
                    asking.abort();
                }
            });
            Heard::Nothing { away: Duration::ZERO }
        }
    }
}

#[derive(Clone, Copy)]
struct Question {
    request: TryId,
    ask: u64,
    node: usize,
    address: SocketAddr,
    until: Timestamp,
    patience: Duration,
}

/// Sends a try and reads its answer; `None` where the connection ends without one.
async fn exchange(world: &World, pool: &Pool, question: Question) -> Option<(Answer, Duration)> {
    let mut taken = false;
    loop {
        let kept = pool.borrow_mut().get_mut(&question.address).and_then(Vec::pop);
        let reused = kept.is_some();
        let mut link = match kept {
            Some(link) if !link.sender.is_closed() => link,
            Some(_) => continue,
            None => match connect(question.address).await {
                Some(link) => link,
                None => {
                    // The node closed the connection before, and nobody listens now: it was never taken.
                    if taken {
                        world.note(Fact::Left { request: question.request });
                    }
                    return None;
                }
            },
        };
        if link.sender.ready().await.is_err() {
            continue;
        }
        if !std::mem::replace(&mut taken, true) {
            let Question { request, ask, node, until, .. } = question;
            world.note(Fact::Taken { request, ask, node, at: world.now(), until });
        }
        match ask_on(world, &mut link, question).await {
            Ok((answer, away, keep)) => {
                world.note(Fact::Answered { request: question.request, at: world.now(), answer });
                if keep {
                    pool.borrow_mut().entry(question.address).or_default().push(link);
                }
                return Some((answer, away));
            }
            // A node may close between two requests; what crossed that is sent once more, on a new connection.
            Err(_) if reused => {}
            Err(_) => return None,
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = spawn_local(async move {
        // How it ends shows at the request on it.
        let _ = connection.await;
    });
    Some(Link { sender, task: task.abort_handle() })
}

async fn ask_on(
    world: &World,
    link: &mut Link,
    question: Question,
) -> Result<(Answer, Duration, bool), Box<dyn std::error::Error + Send + Sync>> {
    let (key, class) = {
        let state = world.state.borrow();
        let ask = &state.asks[question.ask as usize];
        (ask.key_number(), &world.script.classes[ask.class])
    };
    let id = format!("{:x}", question.request);
    let mut request = Request::builder()
        .method(if class.write { Method::PUT } else { Method::GET })
        .uri(format!("/api/{key:016x}"))
        .header("host", "service.internal")
        .header("req-id", &id)
        .header("req-kind", &class.name)
        .header("req-deadline-ms", question.patience.as_millis() as u64);
    if matches!(class.effect, balancer_core::Idempotency::WithKey { .. }) {
        request = request.header("idempotency-key", &id);
    }
    let response = link.sender.send_request(request.body(Empty::new())?).await?;
    let status = response.status();
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let away = header(RETRY_AFTER)
        .and_then(|text| text.parse().ok())
        .and_then(|s| Duration::try_from_secs_f64(s).ok());
    let keep = !header(hyper::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let body = response.into_body().collect().await?.to_bytes();
    let answer = match status {
        StatusCode::OK if body == cache::body(question.request) => Answer::Served,
        StatusCode::OK => Answer::Foreign,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Answer::Refused,
        _ => Answer::Failed,
    };
    Ok((answer, away.unwrap_or_default(), keep))
}
