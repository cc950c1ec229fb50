//! Discovery that is away and comes back, on sockets, with several processes of a large fleet: what it has counts as told six
//! seconds after it can be reached, whatever became of the calls until then.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TOLD: Duration = Duration::from_secs(6);
const NODES: usize = 20;
/// Enough for steps that grow with the number of nodes to have reached their longest.
const FAILURES: usize = 6;

/// A discovery that closes on every call until it is back. It tells of a server that drains then, and nothing after that.
struct Away {
    address: SocketAddr,
    failures: Arc<AtomicUsize>,
    /// When the node was told, and whether it has taken that in: it asks for what comes after.
    told: Arc<Mutex<Option<Instant>>>,
    taken: Arc<AtomicBool>,
}

impl Away {
    fn start(news: String, back: Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let away = Self { address, failures: Arc::default(), told: Arc::default(), taken: Arc::default() };
        let (failures, told, taken) = (away.failures.clone(), away.told.clone(), away.taken.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                if !back.load(Ordering::SeqCst) {
                    failures.fetch_add(1, Ordering::SeqCst);
                    continue;
                }
                let (told, taken, news) = (told.clone(), taken.clone(), news.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(asked)) = Message::read(&mut reader) {
                        if asked.start.contains("after=2&") {
                            // A watch, with nothing more to tell.
                            taken.store(true, Ordering::SeqCst);
                            continue;
                        }
                        stream.write_all(answer("200 OK", "", &news).as_bytes()).unwrap();
                        told.lock().unwrap().get_or_insert_with(Instant::now);
                    }
                });
            }
        });
        away
    }
}

// Guards against back-offs that grow with the number of nodes past the time in which news count as told.
#[test]
fn every_process_is_told_in_time_once_discovery_can_be_reached_again() {
    let (stays, leaves) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let list = [stays.entry("s-1", "ready"), leaves.entry("s-2", "ready")];
    let news = json!({"seq": 2, "whole": false, "hosts": [leaves.entry("s-2", "draining")]}).to_string();
    let back: Arc<AtomicBool> = Arc::default();
    let all: Vec<_> = (0..NODES).map(|_| Away::start(news.clone(), back.clone())).collect();
    let nodes: Vec<_> = (0_u64..)
        .zip(&all)
        .map(|(number, away)| {
            let mut config = config(away.address);
            config["seed"] = json!(format!("{number:016x}"));
            config["known"] = json!({"seq": 1, "whole": true, "hosts": list});
            // As one of three hundred.
            config["settings"]["balancers"] = json!(300);
            Node::ready(&config)
        })
        .collect();
    wait_for("calls that fail", || all.iter().all(|away| away.failures.load(Ordering::SeqCst) >= FAILURES));
    let came_back = Instant::now();
    back.store(true, Ordering::SeqCst);
    wait_for("the news", || all.iter().all(|away| away.told.lock().unwrap().is_some()));
    let took: Vec<_> =
        all.iter().map(|away| away.told.lock().unwrap().unwrap().duration_since(came_back)).collect();
    assert!(took.iter().all(|took| *took <= TOLD), "{took:?}");
    wait_for("the news to be taken in", || all.iter().all(|away| away.taken.load(Ordering::SeqCst)));
    // Told is heeded: nothing goes to the server that drains.
    let before = leaves.count();
    for (key, node) in (1..).zip(&nodes) {
        for more in 0..8 {
            assert_eq!(node.read("read", key * 100 + more).status(), 200);
        }
    }
    assert_eq!(leaves.count(), before);
}
