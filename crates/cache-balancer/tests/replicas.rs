//! Replicas of discovery that fail in hard ways, on sockets: which of them gets which call, in which order, and where the node
//! sends requests then.

mod common;

use balancer_core::discovery::ReplicaSelection;
use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const CLASS: &str = "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n";
const LISTENER: &str = "[[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n";
/// More bytes than an answer that breaks off has.
const MISSING: usize = 1_000;

/// How a replica answers.
#[derive(Clone)]
enum Does {
    /// With this list, and changes once it has others.
    Lists { version: u64, hosts: Vec<Value> },
    /// With these bytes, whatever is asked.
    Says(String),
    /// With the beginning of an answer; then it closes.
    BreaksOff(String),
    /// With this list, after as long as sending it takes.
    Sends { list: String, takes: Duration },
    /// With 503.
    Refuses,
    /// It accepts, reads and says nothing.
    Hangs,
    /// It closes every connection.
    Closes,
}

/// Calls to all replicas of a test, in order: which replica, and the path.
type Calls = Arc<Mutex<Vec<(usize, String)>>>;

struct Replica {
    address: SocketAddr,
    does: Arc<(Mutex<(u64, Does)>, Condvar)>,
}

impl Replica {
    fn does(&self, next: Does) {
        let mut does = self.does.0.lock().unwrap();
        *does = (does.0 + 1, next);
        self.does.1.notify_all();
    }

    fn lists(&self, version: u64, hosts: &[Value]) {
        self.does(Does::Lists { version, hosts: hosts.to_vec() });
    }
}

/// The replicas of one service, in the order of choice of the node that is tested.
struct Service {
    replicas: Vec<Replica>,
    calls: Calls,
}

impl Service {
    /// So many, each of which answers like this, in the order of the node of this name.
    fn start(count: usize, node: &str, does: &Does) -> Self {
        let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<_> = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let order = ReplicaSelection::new(node, addresses.iter().map(ToString::to_string).collect());
        let place = |index: usize| order.order().iter().position(|&place| place == index).unwrap();
        let calls = Calls::default();
        let mut replicas: Vec<_> = (listeners.into_iter().enumerate())
            .map(|(index, listener)| (place(index), serve(listener, place(index), does.clone(), &calls)))
            .collect();
        replicas.sort_by_key(|(place, _)| *place);
        Self { replicas: replicas.into_iter().map(|(_, replica)| replica).collect(), calls }
    }

    /// A file of a node of this name that asks all of them.
    fn file(&self, node: &str) -> String {
        self.file_of(node, &(0..self.replicas.len()).collect::<Vec<_>>())
    }

    /// The same of a node that asks these.
    fn file_of(&self, node: &str, replicas: &[usize]) -> String {
        let addresses: Vec<_> =
            replicas.iter().map(|&place| format!("\"{}\"", self.replicas[place].address)).collect();
        let pool = format!("[[pool]]\nname = \"p\"\ndiscovery = [{}]\n", addresses.join(", "));
        format!("version = 1\nname = \"{node}\"\n[servers]\ncold_share = 1.0\n{LISTENER}{pool}{CLASS}")
    }

    fn calls(&self) -> Vec<(usize, String)> {
        self.calls.lock().unwrap().clone()
    }

    /// Calls to the replica at this place.
    fn calls_to(&self, replica: usize) -> Vec<String> {
        self.calls().into_iter().filter(|(place, _)| *place == replica).map(|(_, path)| path).collect()
    }

    /// Waits until this replica is asked for what is newer than this version.
    fn wait_for_watch(&self, replica: usize, version: u64) {
        let watch = format!("after={version}&");
        wait_for("a watch", || self.calls_to(replica).iter().any(|path| path.contains(&watch)));
    }
}

fn serve(listener: TcpListener, place: usize, does: Does, calls: &Calls) -> Replica {
    let does = Arc::new((Mutex::new((0, does)), Condvar::new()));
    let replica = Replica { address: listener.local_addr().unwrap(), does: does.clone() };
    let calls = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (does, calls) = (does.clone(), calls.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(message)) = Message::read(&mut reader) {
                    let path = message.start.split(' ').nth(1).unwrap().to_owned();
                    calls.lock().unwrap().push((place, path.clone()));
                    if !answer_call(&stream, &path, &does) {
                        return;
                    }
                }
            });
        }
    });
    replica
}

/// Answers one call as the replica does by now; whether the connection stays open.
fn answer_call(mut stream: &TcpStream, path: &str, does: &(Mutex<(u64, Does)>, Condvar)) -> bool {
    let number = |name: &str| {
        path.split_once(name).map(|(_, rest)| rest.split('&').next().unwrap().parse::<u64>().unwrap())
    };
    let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
    loop {
        let (turn, now) = does.0.lock().unwrap().clone();
        let text = match now {
            Does::Lists { version, .. } if after == Some(version) => {
                let changed = does.0.lock().unwrap();
                let (changed, waited) =
                    does.1.wait_timeout_while(changed, wait, |does| does.0 == turn).unwrap();
                drop(changed);
                if !waited.timed_out() {
                    continue;
                }
                json!({"seq": version, "whole": false, "hosts": []}).to_string()
            }
            Does::Lists { version, hosts } => whole(version, &hosts),
            Does::Says(text) => text,
            Does::Sends { list, takes } => {
                thread::sleep(takes);
                list
            }
            Does::BreaksOff(text) => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len() + MISSING);
                let _ = stream.write_all(format!("{head}{text}").as_bytes());
                return false;
            }
            Does::Refuses => {
                return stream.write_all(answer("503 Service Unavailable", "", "").as_bytes()).is_ok();
            }
            Does::Hangs => {
                thread::sleep(2 * PATIENCE);
                return false;
            }
            Does::Closes => return false,
        };
        return stream.write_all(answer("200 OK", "", &text).as_bytes()).is_ok();
    }
}

fn whole(version: u64, hosts: &[Value]) -> String {
    json!({"seq": version, "whole": true, "hosts": hosts}).to_string()
}

/// A list without its end.
fn beginning(version: u64, hosts: &[Value]) -> String {
    let list = whole(version, hosts);
    list.trim_end_matches("]}").to_owned() + ",{\"host\":\"s-"
}

/// Two cache servers, and what the list says of them.
struct Servers {
    stays: CacheServer,
    leaves: CacheServer,
}

impl Servers {
    fn start() -> Self {
        Self { stays: CacheServer::serving("stays"), leaves: CacheServer::serving("leaves") }
    }

    fn both(&self) -> Vec<Value> {
        vec![self.stays.entry("s-1", "ready"), self.leaves.entry("s-2", "ready")]
    }

    fn one_drains(&self) -> Vec<Value> {
        vec![self.stays.entry("s-1", "ready"), self.leaves.entry("s-2", "draining")]
    }

    /// Sends so many requests; how many the server that leaves got of them.
    fn sent_to_leaver(&self, node: &Node, first_key: u64) -> usize {
        let before = self.leaves.count();
        for key in first_key..first_key + 40 {
            assert_eq!(node.read("read", key).status(), 200);
        }
        self.leaves.count() - before
    }
}

fn lists(version: u64, hosts: &[Value]) -> Does {
    Does::Lists { version, hosts: hosts.to_vec() }
}

#[test]
fn a_replica_that_hangs_after_accept_costs_one_call_and_its_neighbour_is_asked() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(1, &servers.both()));
    service.replicas[0].does(Does::Hangs);
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(1, 1);
    let places: Vec<_> = service.calls().into_iter().map(|(place, _)| place).collect();
    assert_eq!(places, [0, 1, 1], "the list, then the watch");
    // The watch at the neighbour falls silent as well: what it misses is asked of the next one.
    assert!(servers.sent_to_leaver(&node, 1_000) > 0);
    service.replicas[1].does(Does::Hangs);
    service.replicas[2].lists(2, &servers.one_drains());
    service.wait_for_watch(2, 2);
    assert_eq!(servers.sent_to_leaver(&node, 2_000), 0);
}

#[test]
fn an_older_version_is_not_taken_and_a_neighbour_is_asked_for_changes() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(5, &servers.one_drains()));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(0, 5);
    // One that has fallen behind repeats itself: it is asked once.
    service.replicas[0].lists(3, &servers.both());
    service.wait_for_watch(1, 5);
    assert_eq!(servers.sent_to_leaver(&node, 1_000), 0);
    let calls = service.calls();
    let lists = calls.iter().filter(|(_, path)| path == "/v1/servers").count();
    assert_eq!(lists, 1, "the list held is good: {calls:?}");
    assert_eq!(service.calls_to(2).len(), 0);
    assert_eq!(node.said(&format!("discovery at {}: list not taken", service.replicas[0].address)), 1);
}

#[test]
fn a_replica_that_comes_back_empty_is_not_believed_and_three_of_them_are() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(5, &servers.both()));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(0, 5);
    service.replicas[0].lists(6, &[]);
    service.wait_for_watch(1, 5);
    assert!(servers.sent_to_leaver(&node, 1_000) > 0);
    for (place, next) in [(1, 2), (2, 3)] {
        service.replicas[place].lists(6, &[]);
        if next == 2 {
            service.wait_for_watch(2, 5);
            assert!(servers.sent_to_leaver(&node, 2_000) > 0, "two are not enough");
        }
    }
    wait_for("the third to be believed", || node.said("3 replicas sent it") == 1);
    service.wait_for_watch(2, 6);
    let mut places: Vec<_> = service.calls().into_iter().map(|(place, _)| place).collect();
    places.dedup();
    assert_eq!(places, [0, 1, 2], "each was asked in its turn");
    wait_for("no server to be left", || node.read("read", 9_000).status() != 200);
}

#[test]
fn a_service_that_counts_anew_is_believed_once_all_replicas_tell_so() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(41, &servers.both()));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(0, 41);
    let anew = [servers.stays.entry("s-1", "ready")];
    for place in [0, 1] {
        service.replicas[place].lists(1, &anew);
        service.wait_for_watch(place + 1, 41);
        assert!(servers.sent_to_leaver(&node, 1_000 * (place as u64 + 1)) > 0, "{place}");
    }
    service.replicas[2].lists(1, &anew);
    wait_for("the last to be believed", || node.said("3 replicas sent it") == 1);
    service.wait_for_watch(2, 1);
    assert_eq!(servers.sent_to_leaver(&node, 5_000), 0);
    // From here on it is followed as ever.
    service.replicas[2].lists(2, &servers.both());
    service.wait_for_watch(2, 2);
    assert!(servers.sent_to_leaver(&node, 6_000) > 0);
}

// The node has no list yet: one replica tells it of a drain and is lost in the middle, and its neighbour lags.
#[test]
fn a_drain_told_by_a_replica_that_is_lost_in_the_middle_of_a_list_holds_against_a_neighbour_that_lags() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(41, &servers.both()));
    service.replicas[0].does(Does::BreaksOff(beginning(43, &servers.one_drains())));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(1, 41);
    let calls = service.calls();
    assert_eq!(calls[..2], [(0, "/v1/servers".into()), (1, "/v1/servers".into())]);
    assert_eq!(servers.sent_to_leaver(&node, 1_000), 0, "told by the first");
    // Not with a version that is older still.
    service.replicas[1].lists(42, &servers.both());
    service.wait_for_watch(1, 42);
    assert_eq!(servers.sent_to_leaver(&node, 2_000), 0);
    // The neighbour has caught up: the server is ready again.
    service.replicas[1].lists(44, &servers.both());
    service.wait_for_watch(1, 44);
    assert!(servers.sent_to_leaver(&node, 3_000) > 0);
}

// The same on a watch: the replica tells of the drain, and is lost before its answer is whole.
#[test]
fn a_drain_heeded_on_a_watch_that_breaks_off_holds_until_a_neighbour_has_caught_up() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(41, &servers.both()));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(0, 41);
    assert!(servers.sent_to_leaver(&node, 1_000) > 0);
    let drain = beginning(43, &[servers.leaves.entry("s-2", "draining")]).replace("true", "false");
    service.replicas[0].does(Does::BreaksOff(drain));
    service.wait_for_watch(1, 41);
    assert_eq!(servers.sent_to_leaver(&node, 2_000), 0);
    service.replicas[1].lists(42, &servers.both());
    service.wait_for_watch(1, 42);
    assert_eq!(servers.sent_to_leaver(&node, 3_000), 0);
    service.replicas[1].lists(43, &servers.one_drains());
    service.wait_for_watch(1, 43);
    assert_eq!(servers.sent_to_leaver(&node, 4_000), 0);
    service.replicas[1].lists(44, &servers.both());
    service.wait_for_watch(1, 44);
    assert!(servers.sent_to_leaver(&node, 5_000) > 0);
}

// Half of the replicas know of a drain and are lost; the other half lags. Whoever was told does not send there again.
#[test]
fn in_a_partition_nodes_that_were_told_of_a_drain_keep_to_it_at_replicas_that_lag() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(1, &servers.both()));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(0, 1);
    for place in [0, 1] {
        service.replicas[place].lists(2, &servers.one_drains());
    }
    service.wait_for_watch(0, 2);
    assert_eq!(servers.sent_to_leaver(&node, 1_000), 0);
    for place in [0, 1] {
        service.replicas[place].does(Does::Closes);
    }
    // Both that lag tell their older list, round after round.
    wait_for("two rounds", || service.calls_to(3).len() >= 3);
    assert_eq!(servers.sent_to_leaver(&node, 2_000), 0);
    for place in [2, 3] {
        assert!(service.calls_to(place).iter().all(|path| path.contains("after=2&")), "no full list");
    }
    // The list and two watches at the first, and then one after the other.
    let places: Vec<_> = service.calls().into_iter().map(|(place, _)| place).take(8).collect();
    assert_eq!(places, [0, 0, 0, 1, 2, 3, 0, 1]);
    service.replicas[2].lists(3, &servers.both());
    service.wait_for_watch(2, 3);
    assert!(servers.sent_to_leaver(&node, 3_000) > 0);
}

#[test]
fn bytes_that_are_no_list_are_named_within_bounds_and_a_neighbour_is_asked() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    // Valid so far, and named by whoever reads it.
    let odd = format!("{{\"seq\":\"\\u001b[2J{}\"", "x".repeat(100_000));
    service.replicas[0].does(Does::Says(odd));
    let folder = Folder::new();
    let node = run(&folder, &service.file("n0"));
    service.wait_for_watch(1, 1);
    let words = format!("discovery at {}: not a list: ", service.replicas[0].address);
    let log = node.log.lock().unwrap().clone();
    let named: Vec<_> = log.iter().filter(|line| line.contains(&words)).collect();
    assert_eq!(named.len(), 1, "{log:?}");
    assert!(named[0].len() < 500 && !named[0].contains('\u{1b}'), "{}", named[0]);
    assert_eq!(service.calls_to(0).len(), 1);
}

// With no list of its own the node does not know how long it is. Without a stated capacity the call is given up before that.
#[test]
fn a_full_list_that_takes_long_to_send_is_waited_for_where_the_capacity_is_stated() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    let sends = Does::Sends { list: whole(1, &servers.both()), takes: Duration::from_secs(5) };
    service.replicas[0].does(sends);
    let folder = Folder::new();
    let capacity = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";
    let file = service.file("n0").replace("[[class]]", &format!("{capacity}[[class]]"));
    let _node = run(&folder, &file);
    service.wait_for_watch(0, 1);
    let places: Vec<_> = service.calls().into_iter().map(|(place, _)| place).collect();
    assert_eq!(places, [0, 0]);
    let plain = Service::start(2, "n0", &lists(1, &servers.both()));
    plain.replicas[0].does(Does::Sends { list: whole(1, &servers.both()), takes: Duration::from_secs(5) });
    let folder = Folder::new();
    let _node = run(&folder, &plain.file("n0"));
    plain.wait_for_watch(1, 1);
    let places: Vec<_> = plain.calls().into_iter().map(|(place, _)| place).collect();
    assert_eq!(places, [0, 1, 1]);
}

#[test]
fn a_replica_that_refuses_is_asked_once_more_before_its_neighbour_is() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    service.replicas[0].does(Does::Refuses);
    let folder = Folder::new();
    let _node = run(&folder, &service.file("n0"));
    service.wait_for_watch(1, 1);
    let places: Vec<_> = service.calls().into_iter().map(|(place, _)| place).collect();
    assert_eq!(places, [0, 0, 1, 1]);
}

#[test]
fn a_reload_keeps_the_watch_at_a_replica_that_stays_and_the_version_while_any_does() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(7, &servers.both()));
    let folder = Folder::new();
    let node = run(&folder, &service.file_of("n0", &[0, 1]));
    service.wait_for_watch(0, 7);
    // The current one stays: its watch goes on, and tells.
    node.reconfigure(&service.file_of("n0", &[0, 2]));
    let before = service.calls();
    service.replicas[0].lists(8, &servers.one_drains());
    service.wait_for_watch(0, 8);
    assert_eq!(service.calls().len(), before.len() + 1, "the same watch, and the next one");
    assert_eq!(servers.sent_to_leaver(&node, 1_000), 0);
    // Another one stays: it is asked for what is newer than the list held.
    service.replicas[2].lists(8, &servers.one_drains());
    service.replicas[3].lists(8, &servers.one_drains());
    node.reconfigure(&service.file_of("n0", &[2, 3]));
    service.wait_for_watch(2, 8);
    // None stays: the new one is asked for the full list, whatever version it has.
    service.replicas[1].lists(3, &servers.both());
    node.reconfigure(&service.file_of("n0", &[1]));
    service.wait_for_watch(1, 3);
    assert_eq!(service.calls_to(1)[0], "/v1/servers");
    assert!(servers.sent_to_leaver(&node, 2_000) > 0);
    let full = service.calls().iter().filter(|(_, path)| path == "/v1/servers").count();
    assert_eq!(full, 2, "at the start, and where no replica stayed");
}
