//! A discovery service that sends the endpoint lists of a test.

use super::http::{answer, Message};
use super::wait::{wait_for, PATIENCE};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// The current response.
struct Lists {
    seq: u64,
    body: String,
}

/// A discovery service.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The paths of the calls that it has received, in order.
    pub asked: Arc<Mutex<Vec<String>>>,
    lists: Arc<(Mutex<Lists>, Condvar)>,
}

impl Discovery {
    /// One with this list, as a snapshot of version 1.
    pub fn start(hosts: &[Value]) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), hosts)
    }

    /// The same at this address.
    pub fn start_at(address: SocketAddr, hosts: &[Value]) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let body = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let lists = Arc::new((Mutex::new(Lists { seq: 1, body }), Condvar::new()));
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let (all, log) = (lists.clone(), asked.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (lists, asked) = (all.clone(), log.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        let path = message.start.split(' ').nth(1).unwrap().to_owned();
                        let after =
                            path.split_once("after=").map(|(_, rest)| rest.split('&').next().unwrap());
                        let after = after.map_or(0, |after| after.parse().unwrap());
                        asked.lock().unwrap().push(path);
                        let (list, changed) = &*lists;
                        let list = changed
                            .wait_timeout_while(list.lock().unwrap(), PATIENCE, |list| list.seq <= after)
                            .unwrap()
                            .0;
                        if stream.write_all(answer("200 OK", "", &list.body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, asked, lists }
    }

    /// Sends a snapshot (`whole`) or a delta, with the next version.
    pub fn tell(&self, whole: bool, hosts: &[Value]) {
        let seq = self.lists.0.lock().unwrap().seq + 1;
        self.tell_text(json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string());
    }

    /// Responds to the calls that wait, and to those that come until the next list, with this text.
    pub fn tell_text(&self, body: String) {
        let mut lists = self.lists.0.lock().unwrap();
        *lists = Lists { seq: lists.seq + 1, body };
        self.lists.1.notify_all();
    }

    /// The number of calls that it has received.
    pub fn calls(&self) -> usize {
        self.asked.lock().unwrap().len()
    }

    /// Waits until the node has applied the list of this version: it then polls for the next one.
    pub fn wait_until_told(&self, seq: u64) {
        let next = format!("after={seq}&");
        wait_for("the next watch", || self.asked.lock().unwrap().iter().any(|path| path.contains(&next)));
    }
}
