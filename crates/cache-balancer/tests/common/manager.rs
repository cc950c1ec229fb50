//! Receives the notifications of a node to its service manager.

use std::io::ErrorKind;
use std::os::unix::net::UnixDatagram;

/// Receives the next notification of a node to its service manager. The read is repeated after a signal (for
/// example if the test is stopped and continued), since the system does not resume a read with a timeout.
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
