//! A stand-in discovery service that sends the endpoint lists of the test.

use super::http::{response, serve_requests};
use super::wait::{wait_for, TIMEOUT};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The current response to polls.
struct CurrentResponse {
    /// The version of the list in the body.
    version: u64,
    body: String,
}

/// Returns a snapshot of this version as discovery sends it.
pub fn snapshot(version: u64, endpoints: &[Value]) -> String {
    json!({"seq": version, "whole": true, "hosts": endpoints}).to_string()
}

/// A stand-in discovery service on loopback that serves one endpoint list to all nodes.
pub struct Discovery {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The paths of the received requests, in order of arrival.
    pub received: Arc<Mutex<Vec<String>>>,
    /// The current response, with a condition that signals its changes.
    current: Arc<(Mutex<CurrentResponse>, Condvar)>,
}

impl Discovery {
    /// Starts a service that sends these endpoints as a snapshot of version 1.
    pub fn start(endpoints: &[Value]) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), endpoints)
    }

    /// Like [`Discovery::start`], at this address.
    pub fn start_at(address: SocketAddr, endpoints: &[Value]) -> Self {
        Self::start_with(address, endpoints, |stream, response| stream.write_all(response.as_bytes()).is_ok())
    }

    /// Like [`Discovery::start`], with a second copy of each response, which is sent after the next poll has
    /// had time to arrive.
    pub fn start_with_second_copies(endpoints: &[Value]) -> Self {
        Self::start_with((Ipv4Addr::LOCALHOST, 0).into(), endpoints, |stream, response| {
            (0..2).all(|_| {
                let sent = stream.write_all(response.as_bytes()).is_ok();
                thread::sleep(Duration::from_millis(5));
                sent
            })
        })
    }

    /// Starts a service that sends each response with `send`, which returns whether the connection is still
    /// open.
    fn start_with(
        address: SocketAddr,
        endpoints: &[Value],
        send: impl Fn(&mut TcpStream, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let body = snapshot(1, endpoints);
        let current = Arc::new((Mutex::new(CurrentResponse { version: 1, body }), Condvar::new()));
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let (shared_response, received_paths) = (current.clone(), received.clone());
        serve_requests(listener, move |request, stream| {
            let path = request.start_line.split(' ').nth(1).unwrap().to_owned();
            let after = path.split_once("after=").map(|(_, rest)| rest.split('&').next().unwrap());
            let after = after.map_or(0, |after| after.parse().unwrap());
            received_paths.lock().unwrap().push(path);
            let (latest, changed) = &*shared_response;
            let latest = changed
                .wait_timeout_while(latest.lock().unwrap(), TIMEOUT, |latest| latest.version <= after)
                .unwrap()
                .0;
            let text = response("200 OK", "", &latest.body);
            drop(latest);
            send(stream, &text)
        });
        Self { address, received, current }
    }

    /// Sends a snapshot or a delta (a list of the changed endpoints) with the next version to all watches.
    pub fn publish(&self, is_snapshot: bool, endpoints: &[Value]) {
        let version = self.current.0.lock().unwrap().version + 1;
        self.publish_text(json!({"seq": version, "whole": is_snapshot, "hosts": endpoints}).to_string());
    }

    /// Sends this text as the response of the next version to pending polls, and to later polls until the
    /// next update.
    pub fn publish_text(&self, body: String) {
        let mut current = self.current.0.lock().unwrap();
        *current = CurrentResponse { version: current.version + 1, body };
        self.current.1.notify_all();
    }

    /// Returns the number of received requests.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Waits until a node has applied the list of this version, which is the case when it polls for the next
    /// version.
    pub fn wait_until_applied(&self, version: u64) {
        let next = format!("after={version}&");
        wait_for("the next watch", || self.received.lock().unwrap().iter().any(|path| path.contains(&next)));
    }
}
