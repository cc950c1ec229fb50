//! Measures start-up time, memory and throughput of a daemon, and requests lost during upgrades and crashes.
//!
//! Run it with `cargo bench -p cache-balancer --bench fleet`. Each row is a ratio or a count against a
//! baseline of the same run. With the argument `bare` it runs the bare server with which start-up is
//! compared.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{command, read_request, wait_for, CacheServer, Client, Message, Node, TempDir, READ_CLASS};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const STARTS: usize = 15;
const RELOADS: usize = 1_000;
const INSTANCES: usize = 20;
/// Number of successors that are killed, each at a random time within `MAX_CRASH_DELAY` after it has taken
/// over.
const CRASHES: usize = 200;
const MAX_CRASH_DELAY: Duration = Duration::from_secs(3);
/// Number of crashes that are tested in parallel.
const CRASH_WORKERS: usize = 8;
/// Time for which clients keep sending requests after a crash.
const TIME_AFTER_CRASH: Duration = Duration::from_millis(600);
/// Time after a crash from which refused connections are counted separately as well.
const RECOVERY_TIME: Duration = Duration::from_millis(100);
const THROUGHPUT_TIME: Duration = Duration::from_secs(4);

fn main() {
    if std::env::args().any(|argument| argument == "bare") {
        return run_bare_server();
    }
    let server = CacheServer::serving("a");
    measure_start_up(&server);
    measure_memory(&server);
    measure_upgrades(&server);
    measure_crashes(&server);
    measure_throughput(&server);
}

/// A minimal server on the same libraries, with which a node's start-up is compared.
fn run_bare_server() {
    use http_body_util::Full;
    use hyper::body::Bytes;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let serving = async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        eprintln!("listens on {}", listener.local_addr().unwrap());
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = hyper::service::service_fn(|_| async {
                Ok::<_, std::convert::Infallible>(hyper::Response::new(Full::new(Bytes::from_static(b"a"))))
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
            drop(connection.await);
        }
    };
    runtime.block_on(serving);
}

fn write_config(
    directory: &TempDir,
    name: &str,
    address: &str,
    server: &CacheServer,
    extra: &str,
) -> std::path::PathBuf {
    let text = format!(
        "version = 1\n[hand_over]\nsocket = \"{name}.sock\"\nprobation = \"100ms\"\n[[listener]]\nname = \"clients\"\naddress = \"{address}\"\n\
         [[pool]]\nname = \"p\"\n[[pool.server]]\nname = \"box\"\naddress = \"{}\"\n{READ_CLASS}{extra}",
        server.address
    );
    directory.write(&format!("{name}.toml"), &text)
}

fn start_node(path: &std::path::Path) -> Node {
    let mut command = command();
    command.arg("run").arg("--config").arg(path);
    Node::spawn(command, path.to_owned())
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

fn is_healthy(address: SocketAddr) -> bool {
    let request = || {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")?;
        Message::read(&mut BufReader::new(stream))
    };
    request().is_ok_and(|response| response.is_some_and(|response| response.status() == 200))
}

fn measure_start_up(server: &CacheServer) {
    let (mut node_times, mut bare_times) = (Vec::new(), Vec::new());
    for _ in 0..STARTS {
        let directory = TempDir::new();
        let path = write_config(&directory, "n", "127.0.0.1:0", server, "");
        let start = Instant::now();
        let started = start_node(&path);
        wait_for("the node's readiness", || is_healthy(started.address));
        node_times.push(start.elapsed());
        let start = Instant::now();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("bare")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        std::io::BufRead::read_line(&mut BufReader::new(child.stderr.take().unwrap()), &mut line).unwrap();
        let address = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        wait_for("the bare server", || is_healthy(address));
        bare_times.push(start.elapsed());
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let (node, bare) = (median(node_times), median(bare_times));
    println!(
        "| start to ready, median of {STARTS} | {:.1} times a bare server's |",
        node.as_secs_f64() / bare.as_secs_f64()
    );
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn measure_memory(server: &CacheServer) {
    let directory = TempDir::new();
    let path = write_config(&directory, "n", "127.0.0.1:0", server, "");
    let node = start_node(&path);
    wait_for("the node's readiness", || is_healthy(node.address));
    let idle = resident_kib(node.child.id());
    let texts = ["", "[[class]]\nname = \"new\"\n"].map(|extra| {
        std::fs::read_to_string(write_config(&directory, "n", "127.0.0.1:0", server, extra)).unwrap()
    });
    let reload_repeatedly = || (0..RELOADS).for_each(|turn| node.reconfigure(&texts[(turn + 1) % 2]));
    reload_repeatedly();
    let after_first = resident_kib(node.child.id());
    reload_repeatedly();
    let after_second = resident_kib(node.child.id());
    println!("| an idle instance, resident | {:.1} MiB |", idle as f64 / 1024.0);
    println!(
        "| after {RELOADS} reloads, and after as many again | {:.2} and {:.2} times that |",
        after_first as f64 / idle as f64,
        after_second as f64 / idle as f64
    );
}

/// Replaces every instance while clients keep sending requests on new connections. Returns the numbers of
/// served and lost requests.
fn replace_under_load(server: &CacheServer, replace: impl Fn(&TempDir, usize, Node) -> Node) -> (u64, u64) {
    let directory = TempDir::new();
    let addresses: Vec<_> = (0..INSTANCES)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect::<Vec<_>>()
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let start = |instance: usize| {
        let path =
            write_config(&directory, &format!("{instance}"), &addresses[instance].to_string(), server, "");
        let node = start_node(&path);
        wait_for("the node's readiness", || is_healthy(node.address));
        node
    };
    let mut nodes: Vec<_> = (0..INSTANCES).map(start).collect();
    let (stop, served, lost) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for (number, address) in addresses.iter().enumerate() {
            let (stop, served, lost) = (&stop, &served, &lost);
            scope.spawn(move || {
                let mut key = (number as u64) << 32;
                while !stop.load(Ordering::SeqCst) {
                    key += 1;
                    let request = || {
                        let mut stream = TcpStream::connect(address)?;
                        stream.write_all(read_request("read", key, 5_000).as_bytes())?;
                        Message::read(&mut BufReader::new(stream))
                    };
                    let is_served = request()
                        .is_ok_and(|response| response.is_some_and(|response| response.status() == 200));
                    if is_served { served } else { lost }.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for instance in 0..INSTANCES {
            let node = replace(&directory, instance, nodes.remove(0));
            nodes.push(node);
        }
        stop.store(true, Ordering::SeqCst);
    });
    (served.into_inner(), lost.into_inner())
}

fn measure_upgrades(server: &CacheServer) {
    let write_new_config = |directory: &TempDir, instance: usize, old: &Node| {
        write_config(directory, &format!("{instance}"), &old.address.to_string(), server, "")
    };
    let (served, lost) = replace_under_load(server, |directory, instance, old| {
        let new = start_node(&write_new_config(directory, instance, &old));
        assert!(old.exit_status().success());
        write_config(directory, &format!("{instance}"), &new.address.to_string(), server, "");
        new
    });
    println!("| {INSTANCES} instances upgraded by hand-over | {lost} of {} lost or refused |", served + lost);
    let (served, lost) = replace_under_load(server, |directory, instance, old| {
        let address = old.address;
        old.terminate();
        assert!(old.exit_status().success());
        let new =
            start_node(&write_config(directory, &format!("{instance}"), &address.to_string(), server, ""));
        wait_for("the node's readiness", || is_healthy(new.address));
        new
    });
    println!("| the same by stop and start | {lost} of {} lost or refused |", served + lost);
}

/// Outcomes of the clients' requests when successors are killed.
#[derive(Default)]
struct CrashOutcomes {
    requests: AtomicU64,
    /// Requests without a response on an established connection.
    lost: AtomicU64,
    /// The part of `lost` that was sent after the crash.
    lost_later: AtomicU64,
    /// Refused connections.
    refused: AtomicU64,
    /// The part of `refused` later than `RECOVERY_TIME` after the crash, when no connection may be refused
    /// any more.
    refused_later: AtomicU64,
}

/// Kills a successor `delay` after it has taken over, while four clients send requests on new connections.
fn crash_successor(server: &CacheServer, probation: &str, delay: Duration, outcomes: &CrashOutcomes) {
    let directory = TempDir::new();
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let start = || {
        let path = write_config(&directory, "n", &address.to_string(), server, "");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, text.replace("probation = \"100ms\"", &format!("probation = \"{probation}\"")))
            .unwrap();
        start_node(&path)
    };
    let old = start();
    wait_for("the node's readiness", || is_healthy(address));
    let (stop, crashed_at) = (AtomicBool::new(false), std::sync::OnceLock::<Instant>::new());
    std::thread::scope(|scope| {
        for number in 0..4_u64 {
            let (stop, crashed_at) = (&stop, &crashed_at);
            scope.spawn(move || {
                let mut key = number << 32;
                while !stop.load(Ordering::SeqCst) {
                    key += 1;
                    outcomes.requests.fetch_add(1, Ordering::SeqCst);
                    let at = Instant::now();
                    let is_later_by = |delay: Duration| {
                        crashed_at.get().is_some_and(|crashed_at| at >= *crashed_at + delay)
                    };
                    match TcpStream::connect(address) {
                        Err(_) => {
                            outcomes.refused.fetch_add(1, Ordering::SeqCst);
                            outcomes
                                .refused_later
                                .fetch_add(is_later_by(RECOVERY_TIME).into(), Ordering::SeqCst);
                        }
                        Ok(mut stream) => {
                            let sent = stream.write_all(read_request("read", key, 5_000).as_bytes());
                            let response = sent.and_then(|()| Message::read(&mut BufReader::new(stream)));
                            if !response.is_ok_and(|response| {
                                response.is_some_and(|response| response.status() == 200)
                            }) {
                                outcomes.lost.fetch_add(1, Ordering::SeqCst);
                                outcomes
                                    .lost_later
                                    .fetch_add(is_later_by(Duration::ZERO).into(), Ordering::SeqCst);
                            }
                        }
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        let mut new = start();
        wait_for("the hand-over", || old.logged("stands by") == 1);
        std::thread::sleep(delay);
        new.child.kill().unwrap();
        // Times count from the exit of the successor, not from the signal, since it accepts requests until it
        // exits.
        new.child.wait().unwrap();
        crashed_at.set(Instant::now()).unwrap();
        std::thread::sleep(TIME_AFTER_CRASH);
        stop.store(true, Ordering::SeqCst);
    });
}

/// Kills successors in two cases: with a long probation, during which the predecessor stands by, and with a
/// probation so short that the predecessor exits at once.
fn measure_crashes(server: &CacheServer) {
    for (what, probation) in [("the old process stands by", "10s"), ("the old process exits at once", "1ms")]
    {
        let outcomes = CrashOutcomes::default();
        std::thread::scope(|scope| {
            for worker in 0..CRASH_WORKERS {
                let outcomes = &outcomes;
                scope.spawn(move || {
                    let mut random = fastrand::Rng::with_seed(worker as u64);
                    for _ in 0..CRASHES / CRASH_WORKERS {
                        crash_successor(server, probation, MAX_CRASH_DELAY.mul_f64(random.f64()), outcomes);
                    }
                });
            }
        });
        let count = |count: &AtomicU64| count.load(Ordering::SeqCst);
        println!(
            "| {CRASHES} successors killed, {what} | of {} requests {} lost ({} of them sent after the crash), {} refused ({} of them at least {RECOVERY_TIME:?} after the crash) |",
            count(&outcomes.requests),
            count(&outcomes.lost),
            count(&outcomes.lost_later),
            count(&outcomes.refused),
            count(&outcomes.refused_later),
        );
    }
}

fn measure_throughput(server: &CacheServer) {
    let served_requests = |instances: usize| {
        let directories: Vec<_> = (0..instances).map(|_| TempDir::new()).collect();
        let nodes: Vec<_> = directories
            .iter()
            .map(|directory| start_node(&write_config(directory, "n", "127.0.0.1:0", server, "")))
            .collect();
        nodes.iter().for_each(|node| wait_for("the node's readiness", || is_healthy(node.address)));
        let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let clients: Vec<_> = (0..16)
            .map(|number| {
                let (stop, count, address) = (stop.clone(), count.clone(), nodes[number % instances].address);
                std::thread::spawn(move || {
                    let mut client = Client::connect(address);
                    let mut key = (number as u64) << 32;
                    while !stop.load(Ordering::SeqCst) {
                        key += 1;
                        if client.request(&read_request("read", key, 5_000)).status() == 200 {
                            count.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                })
            })
            .collect();
        std::thread::sleep(THROUGHPUT_TIME);
        stop.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| client.join().unwrap());
        count.load(Ordering::SeqCst) as f64
    };
    // Both are measured alternately, and the median of the ratios is used, since the machine's speed drifts.
    let mut ratios: Vec<_> = (0..3).map(|_| served_requests(8) / served_requests(1)).collect();
    ratios.sort_by(f64::total_cmp);
    println!(
        "| 8 instances' throughput, 16 clients on the same cores | {:.2} times one instance's |",
        ratios[1]
    );
}
