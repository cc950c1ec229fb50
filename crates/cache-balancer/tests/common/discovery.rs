//! A stand-in discovery service that sends the endpoint lists of the test.

use super::http::{response, serve_requests};
use super::wait::{wait_for, TIMEOUT};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};

/// The response to polls, and its version.
struct CurrentResponse {
    seq: u64,
    body: String,
}

/// A snapshot of this version, as discovery sends it.
pub fn snapshot(version: u64, endpoints: &[Value]) -> String {
    json!({"seq": version, "whole": true, "hosts": endpoints}).to_string()
}

/// A stand-in discovery service on loopback that serves one endpoint list to all nodes.
pub struct Discovery {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The paths of the received requests, in order of arrival.
    pub received: Arc<Mutex<Vec<String>>>,
    current: Arc<(Mutex<CurrentResponse>, Condvar)>,
}

impl Discovery {
    /// Starts a service with these endpoints, as a snapshot of version 1.
    pub fn start(endpoints: &[Value]) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), endpoints)
    }

    /// Like [`Discovery::start`], at this address.
    pub fn start_at(address: SocketAddr, endpoints: &[Value]) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let body = snapshot(1, endpoints);
        let current = Arc::new((Mutex::new(CurrentResponse { seq: 1, body }), Condvar::new()));
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let (shared_response, received_paths) = (current.clone(), received.clone());
        serve_requests(listener, move |request, stream| {
            let path = request.start_line.split(' ').nth(1).unwrap().to_owned();
            let after = path.split_once("after=").map(|(_, rest)| rest.split('&').next().unwrap());
            let after = after.map_or(0, |after| after.parse().unwrap());
            received_paths.lock().unwrap().push(path);
            let (latest, changed) = &*shared_response;
            let latest = changed
                .wait_timeout_while(latest.lock().unwrap(), TIMEOUT, |latest| latest.seq <= after)
                .unwrap()
                .0;
            stream.write_all(response("200 OK", "", &latest.body).as_bytes()).is_ok()
        });
        Self { address, received, current }
    }

    /// Sends a snapshot (if `whole`) or a delta with the next version to all watches.
    pub fn notify(&self, whole: bool, endpoints: &[Value]) {
        let seq = self.current.0.lock().unwrap().seq + 1;
        self.notify_text(json!({"seq": seq, "whole": whole, "hosts": endpoints}).to_string());
    }

    /// Responds with this text to pending polls, and to later ones until the next update.
    pub fn notify_text(&self, body: String) {
        let mut current = self.current.0.lock().unwrap();
        *current = CurrentResponse { seq: current.seq + 1, body };
        self.current.1.notify_all();
    }

    /// The number of received requests.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Waits until the node has applied the list of this version: it then polls for the next one.
    pub fn wait_until_notified(&self, seq: u64) {
        let next = format!("after={seq}&");
        wait_for("the next watch", || self.received.lock().unwrap().iter().any(|path| path.contains(&next)));
    }
}
