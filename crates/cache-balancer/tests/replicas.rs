//! Tests failures of discovery replicas on sockets: which replica gets which poll, in which order, and to
//! which servers the node sends requests afterwards.

mod common;

use balancer_core::discovery::ReplicaSelection;
use common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The number of bytes by which the `Content-Length` of a truncated response exceeds its body.
const MISSING_BYTES: usize = 1_000;

/// The behavior of a stand-in replica.
#[derive(Clone)]
enum ReplicaBehavior {
    /// Responds with this snapshot; watches wait until the list changes.
    Lists { version: u64, endpoints: Vec<Value> },
    /// Responds to every poll with this text.
    Sends(String),
    /// Sends the beginning of a response and closes the connection.
    Truncates(String),
    /// Responds with this list after the delay.
    SendsSlowly { list: String, delay: Duration },
    /// Responds with status 503.
    Overloaded,
    /// Accepts connections and reads requests, but sends nothing.
    Hangs,
    /// Closes every connection.
    Closes,
}

/// The polls of all replicas in a test, in order: the rank of the replica and the path.
type Polls = Arc<Mutex<Vec<(usize, String)>>>;

struct Replica {
    address: SocketAddr,
    /// The behavior and the number of its changes, with a condition that signals changes.
    behavior: Arc<(Mutex<(u64, ReplicaBehavior)>, Condvar)>,
}

impl Replica {
    fn set(&self, next: ReplicaBehavior) {
        let mut behavior = self.behavior.0.lock().unwrap();
        *behavior = (behavior.0 + 1, next);
        self.behavior.1.notify_all();
    }

    fn lists(&self, version: u64, endpoints: &[Value]) {
        self.set(ReplicaBehavior::Lists { version, endpoints: endpoints.to_vec() });
    }
}

/// The replicas of one discovery service, in the order of preference of the node under test. The rank of a
/// replica is its index in this order.
struct Service {
    replicas: Vec<Replica>,
    polls: Polls,
}

impl Service {
    /// Starts `count` replicas with this behavior and sorts them by the preference of this node.
    fn start(count: usize, node: &str, behavior: &ReplicaBehavior) -> Self {
        let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<_> = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let order = ReplicaSelection::new(node, addresses.iter().map(ToString::to_string).collect());
        let rank = |index: usize| order.order().iter().position(|&preferred| preferred == index).unwrap();
        let polls = Polls::default();
        let mut replicas: Vec<_> = (listeners.into_iter().enumerate())
            .map(|(index, listener)| (rank(index), serve(listener, rank(index), behavior.clone(), &polls)))
            .collect();
        replicas.sort_by_key(|(rank, _)| *rank);
        Self { replicas: replicas.into_iter().map(|(_, replica)| replica).collect(), polls }
    }

    /// Returns the configuration of this node with all replicas.
    fn config(&self, node: &str) -> String {
        self.config_with_replicas(node, &(0..self.replicas.len()).collect::<Vec<_>>())
    }

    /// Returns the configuration of this node with the replicas of these ranks.
    fn config_with_replicas(&self, node: &str, replicas: &[usize]) -> String {
        let addresses: Vec<_> =
            replicas.iter().map(|&rank| format!("\"{}\"", self.replicas[rank].address)).collect();
        let pool = format!("[[pool]]\nname = \"p\"\ndiscovery = [{}]\n", addresses.join(", "));
        format!("version = 1\nname = \"{node}\"\n[servers]\ncold_share = 1.0\n{CLIENT_LISTENER}{pool}{READ_CLASS}")
    }

    fn polls(&self) -> Vec<(usize, String)> {
        self.polls.lock().unwrap().clone()
    }

    /// Returns the paths of the polls of the replica of this rank.
    fn polls_to(&self, replica: usize) -> Vec<String> {
        self.polls().into_iter().filter(|(rank, _)| *rank == replica).map(|(_, path)| path).collect()
    }

    /// Waits until the replica of this rank is polled for changes after this version.
    fn wait_for_watch(&self, replica: usize, version: u64) {
        let watch = format!("after={version}&");
        wait_for("a watch", || self.polls_to(replica).iter().any(|path| path.contains(&watch)));
    }
}

fn serve(listener: TcpListener, rank: usize, behavior: ReplicaBehavior, polls: &Polls) -> Replica {
    let behavior = Arc::new((Mutex::new((0, behavior)), Condvar::new()));
    let replica = Replica { address: listener.local_addr().unwrap(), behavior: behavior.clone() };
    let polls = polls.clone();
    serve_requests(listener, move |request, stream| {
        let path = request.start_line.split(' ').nth(1).unwrap().to_owned();
        polls.lock().unwrap().push((rank, path.clone()));
        respond_to_poll(stream, &path, &behavior)
    });
    replica
}

/// Responds to a poll according to the current behavior. Returns whether the connection stays open.
fn respond_to_poll(
    mut stream: &TcpStream,
    path: &str,
    behavior: &(Mutex<(u64, ReplicaBehavior)>, Condvar),
) -> bool {
    let number = |name: &str| {
        path.split_once(name).map(|(_, rest)| rest.split('&').next().unwrap().parse::<u64>().unwrap())
    };
    let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
    loop {
        let (change, current) = behavior.0.lock().unwrap().clone();
        let text = match current {
            ReplicaBehavior::Lists { version, .. } if after == Some(version) => {
                let guard = behavior.0.lock().unwrap();
                let (guard, waited) =
                    behavior.1.wait_timeout_while(guard, wait, |latest| latest.0 == change).unwrap();
                drop(guard);
                if !waited.timed_out() {
                    continue;
                }
                json!({"seq": version, "whole": false, "hosts": []}).to_string()
            }
            ReplicaBehavior::Lists { version, endpoints } => snapshot(version, &endpoints),
            ReplicaBehavior::Sends(text) => text,
            ReplicaBehavior::SendsSlowly { list, delay } => {
                thread::sleep(delay);
                list
            }
            ReplicaBehavior::Truncates(text) => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len() + MISSING_BYTES);
                let _ = stream.write_all(format!("{head}{text}").as_bytes());
                return false;
            }
            ReplicaBehavior::Overloaded => {
                return stream.write_all(response("503 Service Unavailable", "", "").as_bytes()).is_ok();
            }
            ReplicaBehavior::Hangs => {
                thread::sleep(2 * TIMEOUT);
                return false;
            }
            ReplicaBehavior::Closes => return false,
        };
        return stream.write_all(response("200 OK", "", &text).as_bytes()).is_ok();
    }
}

/// Returns a snapshot that is truncated in its last entry.
fn truncated_snapshot(version: u64, endpoints: &[Value]) -> String {
    let list = snapshot(version, endpoints);
    list.trim_end_matches("]}").to_owned() + ",{\"host\":\"s-"
}

/// Two cache servers, one of which will leave the fleet.
struct Servers {
    staying: CacheServer,
    leaving: CacheServer,
}

impl Servers {
    fn start() -> Self {
        Self { staying: CacheServer::serving("stays"), leaving: CacheServer::serving("leaves") }
    }

    fn both(&self) -> Vec<Value> {
        vec![self.staying.endpoint("s-1", "ready"), self.leaving.endpoint("s-2", "ready")]
    }

    fn one_drains(&self) -> Vec<Value> {
        vec![self.staying.endpoint("s-1", "ready"), self.leaving.endpoint("s-2", "draining")]
    }

    /// Sends 40 requests and returns how many of them the leaving server received.
    fn count_sent_to_leaving(&self, node: &Node, first_key: u64) -> usize {
        let before = self.leaving.request_count();
        for key in first_key..first_key + 40 {
            assert_eq!(node.read("read", key).status(), 200);
        }
        self.leaving.request_count() - before
    }
}

fn lists(version: u64, endpoints: &[Value]) -> ReplicaBehavior {
    ReplicaBehavior::Lists { version, endpoints: endpoints.to_vec() }
}

#[test]
fn replica_that_hangs_after_accept_costs_one_poll() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(1, &servers.both()));
    service.replicas[0].set(ReplicaBehavior::Hangs);
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(1, 1);
    let ranks: Vec<_> = service.polls().into_iter().map(|(rank, _)| rank).collect();
    assert_eq!(ranks, [0, 1, 1], "the list, then the watch");
    // The watch at the second replica is lost too, and the third replica reports the change that it missed.
    assert!(servers.count_sent_to_leaving(&node, 1_000) > 0);
    service.replicas[1].set(ReplicaBehavior::Hangs);
    service.replicas[2].lists(2, &servers.one_drains());
    service.wait_for_watch(2, 2);
    assert_eq!(servers.count_sent_to_leaving(&node, 2_000), 0);
}

#[test]
fn older_version_is_rejected_and_the_next_replica_polled_for_changes() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(5, &servers.one_drains()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(0, 5);
    // A lagging replica would send the same list again, so it is polled only once.
    service.replicas[0].lists(3, &servers.both());
    service.wait_for_watch(1, 5);
    assert_eq!(servers.count_sent_to_leaving(&node, 1_000), 0);
    let polls = service.polls();
    let lists = polls.iter().filter(|(_, path)| path == "/v1/servers").count();
    assert_eq!(lists, 1, "the current list stays valid: {polls:?}");
    assert_eq!(service.polls_to(2).len(), 0);
    assert_eq!(node.logged(&format!("discovery at {}: list rejected", service.replicas[0].address)), 1);
}

#[test]
fn empty_list_is_accepted_only_from_three_replicas() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(5, &servers.both()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(0, 5);
    service.replicas[0].lists(6, &[]);
    service.wait_for_watch(1, 5);
    assert!(servers.count_sent_to_leaving(&node, 1_000) > 0);
    for (rank, next) in [(1, 2), (2, 3)] {
        service.replicas[rank].lists(6, &[]);
        if next == 2 {
            service.wait_for_watch(2, 5);
            assert!(servers.count_sent_to_leaving(&node, 2_000) > 0, "two are not enough");
        }
    }
    wait_for("the third list to be accepted", || node.logged("3 replicas sent it") == 1);
    service.wait_for_watch(2, 6);
    let mut ranks: Vec<_> = service.polls().into_iter().map(|(rank, _)| rank).collect();
    ranks.dedup();
    assert_eq!(ranks, [0, 1, 2], "each replica in turn");
    wait_for("no server to be left", || node.read("read", 9_000).status() != 200);
}

#[test]
fn restarted_versions_are_accepted_from_all_replicas() {
    let servers = Servers::start();
    let service = Service::start(3, "n0", &lists(41, &servers.both()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(0, 41);
    let restarted = [servers.staying.endpoint("s-1", "ready")];
    for rank in [0, 1] {
        service.replicas[rank].lists(1, &restarted);
        service.wait_for_watch(rank + 1, 41);
        assert!(servers.count_sent_to_leaving(&node, 1_000 * (rank as u64 + 1)) > 0, "{rank}");
    }
    service.replicas[2].lists(1, &restarted);
    wait_for("the last list to be accepted", || node.logged("3 replicas sent it") == 1);
    service.wait_for_watch(2, 1);
    assert_eq!(servers.count_sent_to_leaving(&node, 5_000), 0);
    // Later changes with the restarted versions are applied.
    service.replicas[2].lists(2, &servers.both());
    service.wait_for_watch(2, 2);
    assert!(servers.count_sent_to_leaving(&node, 6_000) > 0);
}

/// The node has no list yet. One replica reports a drain and is lost in the middle of its response, and the
/// next replica lags. If the node used the list of the lagging replica as it is, it would send requests to
/// the draining server.
#[test]
fn drain_from_a_lost_replica_overrides_a_lagging_replica() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(41, &servers.both()));
    service.replicas[0].set(ReplicaBehavior::Truncates(truncated_snapshot(43, &servers.one_drains())));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(1, 41);
    let polls = service.polls();
    assert_eq!(polls[..2], [(0, "/v1/servers".into()), (1, "/v1/servers".into())]);
    assert_eq!(servers.count_sent_to_leaving(&node, 1_000), 0, "the first replica reported the drain");
    // The server stays draining with a version that is still older than the drain.
    service.replicas[1].lists(42, &servers.both());
    service.wait_for_watch(1, 42);
    assert_eq!(servers.count_sent_to_leaving(&node, 2_000), 0);
    // The second replica has caught up and reports the server as ready again.
    service.replicas[1].lists(44, &servers.both());
    service.wait_for_watch(1, 44);
    assert!(servers.count_sent_to_leaving(&node, 3_000) > 0);
}

/// Same as above during a watch: the replica reports the drain and is lost before its response is complete.
#[test]
fn drain_from_a_broken_watch_holds_until_another_replica_has_caught_up() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(41, &servers.both()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(0, 41);
    assert!(servers.count_sent_to_leaving(&node, 1_000) > 0);
    let drain =
        truncated_snapshot(43, &[servers.leaving.endpoint("s-2", "draining")]).replace("true", "false");
    service.replicas[0].set(ReplicaBehavior::Truncates(drain));
    service.wait_for_watch(1, 41);
    assert_eq!(servers.count_sent_to_leaving(&node, 2_000), 0);
    service.replicas[1].lists(42, &servers.both());
    service.wait_for_watch(1, 42);
    assert_eq!(servers.count_sent_to_leaving(&node, 3_000), 0);
    service.replicas[1].lists(43, &servers.one_drains());
    service.wait_for_watch(1, 43);
    assert_eq!(servers.count_sent_to_leaving(&node, 4_000), 0);
    service.replicas[1].lists(44, &servers.both());
    service.wait_for_watch(1, 44);
    assert!(servers.count_sent_to_leaving(&node, 5_000) > 0);
}

/// Two of four replicas have received a drain and are lost; the other two lag. If nodes accepted the older
/// version of the lagging replicas, the whole fleet would send requests to the draining server again.
#[test]
fn lagging_replicas_in_a_partition_do_not_undo_a_drain() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(1, &servers.both()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(0, 1);
    for rank in [0, 1] {
        service.replicas[rank].lists(2, &servers.one_drains());
    }
    service.wait_for_watch(0, 2);
    assert_eq!(servers.count_sent_to_leaving(&node, 1_000), 0);
    for rank in [0, 1] {
        service.replicas[rank].set(ReplicaBehavior::Closes);
    }
    // The two lagging replicas send their older list in every round.
    wait_for("two rounds", || service.polls_to(3).len() >= 3);
    assert_eq!(servers.count_sent_to_leaving(&node, 2_000), 0);
    for rank in [2, 3] {
        assert!(service.polls_to(rank).iter().all(|path| path.contains("after=2&")), "no snapshot");
    }
    // The first replica gets the request for the list and two watches; then each replica is polled in turn.
    let ranks: Vec<_> = service.polls().into_iter().map(|(rank, _)| rank).take(8).collect();
    assert_eq!(ranks, [0, 0, 0, 1, 2, 3, 0, 1]);
    service.replicas[2].lists(3, &servers.both());
    service.wait_for_watch(2, 3);
    assert!(servers.count_sent_to_leaving(&node, 3_000) > 0);
}

#[test]
fn malformed_bytes_are_escaped_and_truncated_in_the_log_and_the_next_replica_is_polled() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    // The error quotes the text, which contains a control character and is too long for a log line.
    let malformed = format!("{{\"seq\":\"\\u001b[2J{}\"", "x".repeat(100_000));
    service.replicas[0].set(ReplicaBehavior::Sends(malformed));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(1, 1);
    let message = format!("discovery at {}: invalid endpoint list: ", service.replicas[0].address);
    let log = node.log.lock().unwrap().clone();
    let logged: Vec<_> = log.iter().filter(|line| line.contains(&message)).collect();
    assert_eq!(logged.len(), 1, "{log:?}");
    assert!(logged[0].len() < 500 && !logged[0].contains('\u{1b}'), "{}", logged[0]);
    assert_eq!(service.polls_to(0).len(), 1);
}

/// A node without a list does not know how long sending one takes. If the capacity of discovery is
/// configured, the node waits long enough for a long list. With the timeout for an unknown capacity it would
/// never receive one.
#[test]
fn slow_snapshot_is_awaited_if_the_capacity_is_configured() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    let slow =
        ReplicaBehavior::SendsSlowly { list: snapshot(1, &servers.both()), delay: Duration::from_secs(5) };
    service.replicas[0].set(slow);
    let directory = TempDir::new();
    let capacity = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";
    let file = service.config("n0").replace("[[class]]", &format!("{capacity}[[class]]"));
    let _node = start_with_operator_file(&directory, &file);
    service.wait_for_watch(0, 1);
    let ranks: Vec<_> = service.polls().into_iter().map(|(rank, _)| rank).collect();
    assert_eq!(ranks, [0, 0]);
    let service_without_capacity = Service::start(2, "n0", &lists(1, &servers.both()));
    service_without_capacity.replicas[0].set(ReplicaBehavior::SendsSlowly {
        list: snapshot(1, &servers.both()),
        delay: Duration::from_secs(5),
    });
    let directory = TempDir::new();
    let _node = start_with_operator_file(&directory, &service_without_capacity.config("n0"));
    service_without_capacity.wait_for_watch(1, 1);
    let ranks: Vec<_> = service_without_capacity.polls().into_iter().map(|(rank, _)| rank).collect();
    assert_eq!(ranks, [0, 1, 1]);
}

#[test]
fn overloaded_replica_is_polled_twice_before_the_next_one() {
    let servers = Servers::start();
    let service = Service::start(2, "n0", &lists(1, &servers.both()));
    service.replicas[0].set(ReplicaBehavior::Overloaded);
    let directory = TempDir::new();
    let _node = start_with_operator_file(&directory, &service.config("n0"));
    service.wait_for_watch(1, 1);
    let ranks: Vec<_> = service.polls().into_iter().map(|(rank, _)| rank).collect();
    assert_eq!(ranks, [0, 0, 1, 1]);
}

#[test]
fn reload_keeps_the_watch_if_its_replica_remains_and_else_the_version() {
    let servers = Servers::start();
    let service = Service::start(4, "n0", &lists(7, &servers.both()));
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &service.config_with_replicas("n0", &[0, 1]));
    service.wait_for_watch(0, 7);
    // The current replica remains, so its watch continues and reports the change.
    node.reconfigure(&service.config_with_replicas("n0", &[0, 2]));
    let before = service.polls();
    service.replicas[0].lists(8, &servers.one_drains());
    service.wait_for_watch(0, 8);
    assert_eq!(service.polls().len(), before.len() + 1, "the same watch continues, followed by the next one");
    assert_eq!(servers.count_sent_to_leaving(&node, 1_000), 0);
    // Only another replica remains. It is polled for changes after the current version.
    service.replicas[2].lists(8, &servers.one_drains());
    service.replicas[3].lists(8, &servers.one_drains());
    node.reconfigure(&service.config_with_replicas("n0", &[2, 3]));
    service.wait_for_watch(2, 8);
    // No replica remains. The new one is polled for a snapshot, which is accepted regardless of its version.
    service.replicas[1].lists(3, &servers.both());
    node.reconfigure(&service.config_with_replicas("n0", &[1]));
    service.wait_for_watch(1, 3);
    assert_eq!(service.polls_to(1)[0], "/v1/servers");
    assert!(servers.count_sent_to_leaving(&node, 2_000) > 0);
    let snapshots = service.polls().iter().filter(|(_, path)| path == "/v1/servers").count();
    assert_eq!(snapshots, 2, "one at the start, one when no replica remained");
}
