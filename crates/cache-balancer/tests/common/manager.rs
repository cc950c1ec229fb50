//! The service manager's end of the notification socket of a node.

use std::io::ErrorKind;
use std::os::unix::net::UnixDatagram;

/// Receives the next notification of a node to its service manager. It reads again after a signal (also one that stops
/// and continues the whole test), since the system does not resume a read with a time limit.
pub fn receive_notification(manager: &UnixDatagram) -> String {
    let mut bytes = [0; 4096];
    let length = loop {
        match manager.recv(&mut bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => break other.expect("a notification"),
        }
    };
    String::from_utf8(bytes[..length].to_vec()).unwrap().trim_end().to_owned()
}
