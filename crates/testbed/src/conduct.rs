//! How clients behave, how long messages are on their way and what work a request is: pure, and the same for every player.
//! Times are counted from the start of the play.

use crate::demand::Ask;
use crate::draw::Draw;
use crate::script::{Network, Script};
use crate::timeline::Condition;
use crate::world::cache_server::{Job, JobId};
use std::time::Duration;

/// A wish with less than this left is not asked for again: a client states its patience in whole milliseconds.
const LEAST_PATIENCE: Duration = Duration::from_millis(1);

/// One way between two zones.
pub fn way(network: &Network, from: usize, to: usize, draw: Draw) -> Duration {
    let base = if from == to { network.same_zone } else { network.cross_zone };
    base.mul_f64(1.0 + network.jitter * draw.unit())
}

/// A packet that is lost on a connection that is up is sent again after this, as Linux has it (RFC 6298 allows for more);
/// each further time takes twice as long.
const SENT_AGAIN: Duration = Duration::from_millis(200);
/// The same for the first packet of a connection (RFC 6298, section 2.1).
const FIRST_SENT_AGAIN: Duration = Duration::from_secs(1);
/// A packet is lost so often in a row at the most.
const MOST_LOSSES: u64 = 6;

/// How much longer a message is on its way in this condition.
pub fn held_up(condition: &Condition, draw: Draw) -> Duration {
    condition.delay + lost(condition.loss, SENT_AGAIN, draw)
}

/// How long a new connection takes until the first request may go out; `trip` is an ordinary round trip.
pub fn handshake(network: &Network, condition: &Condition, trip: Duration, draw: Draw) -> Duration {
    (trip + condition.delay * 2) * network.handshake_rtts + lost(condition.loss, FIRST_SENT_AGAIN, draw)
}

/// Whether an answer breaks off on its way in this condition.
pub fn breaks_off(condition: &Condition, draw: Draw) -> bool {
    draw.on(61).unit() < condition.resets
}

fn lost(rate: f64, wait: Duration, draw: Draw) -> Duration {
    let losses = (0..MOST_LOSSES).take_while(|&time| draw.on(60).on(time).unit() < rate).count();
    wait * ((1 << losses) - 1)
}

/// One way between a client and its node.
pub fn client_way(network: &Network, draw: Draw) -> Duration {
    network.client.mul_f64(1.0 + network.jitter * draw.unit())
}

/// How long a client waits for the answer to a try that it sends now.
pub fn patience(script: &Script, ask: &Ask, now: Duration) -> Duration {
    let deadline = script.classes[ask.class].deadline;
    deadline.mul_f64(script.clients.try_share).min((ask.at + deadline).saturating_sub(now))
}

/// When a client leaves without waiting for its answer; `draw` is the try's.
pub fn leaves(script: &Script, draw: Draw, patience: Duration) -> Option<Duration> {
    (draw.on(3).unit() < script.clients.impatient).then(|| patience.mul_f64(draw.on(4).unit()))
}

/// How long a client whose try came to nothing waits before the next; `None` where it makes no other. `away` is what a
/// refusal told it, or zero.
pub fn again(script: &Script, ask: &Ask, number: u32, now: Duration, away: Duration) -> Option<Duration> {
    let clients = &script.clients;
    let honours = ask.draw.on(50).unit() < clients.honour;
    let wait = if honours { clients.backoff.max(away.min(clients.max_retry_after)) } else { clients.backoff };
    let in_time = now + wait + LEAST_PATIENCE < ask.at + script.classes[ask.class].deadline;
    (number < clients.retries && in_time).then_some(wait)
}

/// What an attempt is for the cache server that it comes to; `draw` is the attempt's.
pub fn job(script: &Script, ask: &Ask, draw: Draw, id: JobId, fresh_connection: bool) -> Job {
    let class = &script.classes[ask.class];
    Job {
        id,
        key: ask.key_number(),
        initial_rank: None,
        work: class.work.mul_f64(draw.on(1).log_normal(class.spread)),
        write: class.write,
        handshake: if fresh_connection { script.network.handshake_work } else { Duration::ZERO },
        draw,
    }
}
