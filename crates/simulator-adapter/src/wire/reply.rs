//! Formats the actions of instances as the lines of a reply.

use super::message::InstanceId;
use balancer_core::Action;
use std::fmt::Write;

/// Appends an action of an instance to the reply.
pub fn write_action(reply: &mut String, instance: InstanceId, action: &Action) {
    let written = match action {
        Action::StartAttempt { id, server, timeout, .. } => {
            // In the protocol, 0 means no time-out.
            let timeout_us = timeout.as_micros().max(1);
            writeln!(reply, "send who={instance} request_id={id} server={server} allow_for_us={timeout_us}")
        }
        Action::CancelAttempt { id, attempt } => {
            writeln!(reply, "abort_attempt who={instance} request_id={id} hop={attempt}")
        }
        Action::Reject { id, retry_after } => {
            let retry_after_us = retry_after.as_micros();
            writeln!(reply, "busy who={instance} request_id={id} hold_off_us={retry_after_us}")
        }
        Action::Fail { id } => writeln!(reply, "report_failure who={instance} request_id={id}"),
        Action::SetTimer { after } => {
            writeln!(reply, "wake_at who={instance} nonce=w sleep_for_us={}", after.as_micros())
        }
        Action::CheckHealth { server } => writeln!(reply, "health_check who={instance} server={server}"),
        Action::CloseIdleConnections { server } => writeln!(reply, "close who={instance} server={server}"),
        Action::SubscribeToEndpoints => writeln!(reply, "follow who={instance} on=1"),
        Action::Log(text) => {
            writeln!(reply, "write_log who={instance} body_text={}", replace_line_breaks(text))
        }
    };
    written.expect("writing to a String cannot fail");
}

/// Appends the message of a panic in an instance to the reply.
pub fn write_panic(reply: &mut String, instance: InstanceId, message: &str) {
    writeln!(reply, "bail_out who={instance} body_text={}", replace_line_breaks(message))
        .expect("writing to a String cannot fail");
}

/// Appends the line that ends a reply.
pub fn end_reply(reply: &mut String) {
    reply.push_str("ack\n");
}

fn replace_line_breaks(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
