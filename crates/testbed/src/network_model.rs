//! The latency of messages and connections, with the faults of the network between nodes and cache servers. The same
//! message has the same fate in virtual time and on sockets.

use crate::fault_schedule::ServerCondition;
use crate::random::RandomSource;
use crate::script::Network;
use std::time::Duration;

/// The time until a lost packet of an established connection is retransmitted, as Linux has it (RFC 6298 allows more). It
/// doubles with each further loss.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// The same for the first packet of a connection (RFC 6298, section 2.1).
const INITIAL_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// The most losses of one packet in a row.
const MAX_LOSSES: u64 = 6;

/// The one-way latency between two zones, without faults.
pub fn latency(network: &Network, from_zone: usize, to_zone: usize, random: RandomSource) -> Duration {
    let base = if from_zone == to_zone { network.same_zone_latency } else { network.cross_zone_latency };
    base.mul_f64(1.0 + network.jitter * random.uniform())
}

/// The one-way latency between a client and its node.
pub fn client_latency(network: &Network, random: RandomSource) -> Duration {
    network.client_latency.mul_f64(1.0 + network.jitter * random.uniform())
}

/// How much longer a message takes in this condition.
pub fn fault_delay(condition: &ServerCondition, random: RandomSource) -> Duration {
    condition.extra_latency + retransmission_delay(condition.packet_loss_rate, RETRANSMISSION_TIMEOUT, random)
}

/// How long a new connection takes until the first request may be sent. `round_trip` is an ordinary round trip.
pub fn handshake_time(
    network: &Network,
    condition: &ServerCondition,
    round_trip: Duration,
    random: RandomSource,
) -> Duration {
    (round_trip + condition.extra_latency * 2) * network.handshake_round_trips
        + retransmission_delay(condition.packet_loss_rate, INITIAL_RETRANSMISSION_TIMEOUT, random)
}

/// Whether the connection is reset in the middle of an answer in this condition.
pub fn answer_is_reset(condition: &ServerCondition, random: RandomSource) -> bool {
    random.derive(61).uniform() < condition.reset_rate
}

/// The sum of the exponentially growing timeouts until a packet is not lost.
fn retransmission_delay(loss_rate: f64, timeout: Duration, random: RandomSource) -> Duration {
    let is_lost = |transmission: &u64| random.derive(60).derive(*transmission).uniform() < loss_rate;
    let losses = (0..MAX_LOSSES).take_while(is_lost).count();
    timeout * ((1 << losses) - 1)
}
