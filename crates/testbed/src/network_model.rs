//! The latency of messages and connections, including network faults between nodes and cache servers. The
//! same message has the same latency and losses in virtual time and on sockets.

use crate::fault_schedule::ServerCondition;
use crate::random::RandomSource;
use crate::script::Network;
use std::time::Duration;

/// The time after which a lost packet of an established connection is retransmitted, as in Linux. RFC 6298
/// allows a longer time. The time doubles with each further loss.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// The time after which a lost first packet of a connection is retransmitted (RFC 6298, section 2.1).
const INITIAL_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of consecutive losses of a packet.
const MAX_LOSSES: u64 = 6;

/// Returns the one-way latency between two zones without faults.
pub fn latency(network: &Network, from_zone: usize, to_zone: usize, random: RandomSource) -> Duration {
    let base = if from_zone == to_zone { network.same_zone_latency } else { network.cross_zone_latency };
    base.mul_f64(1.0 + network.jitter * random.uniform())
}

/// Returns the one-way latency between a client and its node.
pub fn client_latency(network: &Network, random: RandomSource) -> Duration {
    network.client_latency.mul_f64(1.0 + network.jitter * random.uniform())
}

/// Returns the additional latency of a message in this condition.
pub fn fault_delay(condition: &ServerCondition, random: RandomSource) -> Duration {
    condition.extra_latency + retransmission_delay(condition.packet_loss_rate, RETRANSMISSION_TIMEOUT, random)
}

/// Returns the time from the start of a connection until the first request may be sent. `round_trip` is a
/// round trip without faults.
pub fn handshake_time(
    network: &Network,
    condition: &ServerCondition,
    round_trip: Duration,
    random: RandomSource,
) -> Duration {
    (round_trip + condition.extra_latency * 2) * network.handshake_round_trips
        + retransmission_delay(condition.packet_loss_rate, INITIAL_RETRANSMISSION_TIMEOUT, random)
}

/// Returns whether the connection is reset during an answer in this condition.
pub fn answer_is_reset(condition: &ServerCondition, random: RandomSource) -> bool {
    random.derive(61).uniform() < condition.reset_rate
}

/// Returns the sum of the retransmission timeouts of a packet. Each timeout is twice the previous one.
fn retransmission_delay(loss_rate: f64, timeout: Duration, random: RandomSource) -> Duration {
    let is_lost = |transmission: &u64| random.derive(60).derive(*transmission).uniform() < loss_rate;
    let losses = (0..MAX_LOSSES).take_while(is_lost).count();
    timeout * ((1 << losses) - 1)
}
