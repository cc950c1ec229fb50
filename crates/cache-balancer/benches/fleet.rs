//! What a daemon costs, and what an upgrade does: `cargo bench -p cache-balancer --bench fleet`. Each row is a ratio or a count
//! against a baseline of the same run. With the argument `bare` it runs the bare server with which start-up is compared.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{command, read_request, wait_for, CacheServer, Client, Message, Node, TempDir};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLASS: &str = "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n";
const STARTS: usize = 15;
const RELOADS: usize = 1_000;
const INSTANCES: usize = 20;
/// Deaths of a successor, at random moments of so long after it has taken over.
const DEATHS: usize = 200;
const DEATH_WITHIN: Duration = Duration::from_secs(3);
/// So many are tried side by side.
const SIDE_BY_SIDE: usize = 8;
/// After a death the clients go on for so long, and what happens from this moment on counts on its own.
const AFTERWARDS: Duration = Duration::from_millis(600);
const SETTLED: Duration = Duration::from_millis(100);
const MEASURED: Duration = Duration::from_secs(4);

fn main() {
    if std::env::args().any(|argument| argument == "bare") {
        return bare();
    }
    let server = CacheServer::serving("a");
    start_up(&server);
    memory(&server);
    upgrades(&server);
    crashes(&server);
    throughput(&server);
}

/// A minimal server on the same libraries, with which a node's start-up is compared.
fn bare() {
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

fn file(folder: &TempDir, name: &str, address: &str, server: &CacheServer, more: &str) -> std::path::PathBuf {
    let text = format!(
        "version = 1\n[hand_over]\nsocket = \"{name}.sock\"\nprobation = \"100ms\"\n[[listener]]\nname = \"clients\"\naddress = \"{address}\"\n\
         [[pool]]\nname = \"p\"\n[[pool.server]]\nname = \"box\"\naddress = \"{}\"\n{CLASS}{more}",
        server.address
    );
    folder.write(&format!("{name}.toml"), &text)
}

fn run(path: &std::path::Path) -> Node {
    let mut command = command();
    command.arg("run").arg("--config").arg(path);
    Node::spawn(command, path.to_owned())
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

fn answers(address: SocketAddr) -> bool {
    let asked = || {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")?;
        Message::read(&mut BufReader::new(stream))
    };
    asked().is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}

fn start_up(server: &CacheServer) {
    let (mut node, mut least) = (Vec::new(), Vec::new());
    for _ in 0..STARTS {
        let folder = TempDir::new();
        let path = file(&folder, "n", "127.0.0.1:0", server, "");
        let begun = Instant::now();
        let started = run(&path);
        wait_for("readiness", || answers(started.address));
        node.push(begun.elapsed());
        let begun = Instant::now();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("bare")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        std::io::BufRead::read_line(&mut BufReader::new(child.stderr.take().unwrap()), &mut line).unwrap();
        let address = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        wait_for("the bare server", || answers(address));
        least.push(begun.elapsed());
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let (node, least) = (median(node), median(least));
    println!(
        "| start to ready, median of {STARTS} | {:.1} times a bare server's |",
        node.as_secs_f64() / least.as_secs_f64()
    );
}

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn memory(server: &CacheServer) {
    let folder = TempDir::new();
    let path = file(&folder, "n", "127.0.0.1:0", server, "");
    let node = run(&path);
    wait_for("readiness", || answers(node.address));
    let idle = resident_kib(node.child.id());
    let texts = ["", "[[class]]\nname = \"new\"\n"]
        .map(|more| std::fs::read_to_string(file(&folder, "n", "127.0.0.1:0", server, more)).unwrap());
    let storm = || (0..RELOADS).for_each(|turn| node.reconfigure(&texts[(turn + 1) % 2]));
    storm();
    let once = resident_kib(node.child.id());
    storm();
    let twice = resident_kib(node.child.id());
    println!("| an idle instance, resident | {:.1} MiB |", idle as f64 / 1024.0);
    println!(
        "| after {RELOADS} reloads, and after as many again | {:.2} and {:.2} times that |",
        once as f64 / idle as f64,
        twice as f64 / idle as f64
    );
}

/// What clients that ask all the time, on new connections, come to while every instance is replaced.
fn replaced(server: &CacheServer, replace: impl Fn(&TempDir, usize, Node) -> Node) -> (u64, u64) {
    let folder = TempDir::new();
    let addresses: Vec<_> = (0..INSTANCES)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect::<Vec<_>>()
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let start = |instance: usize| {
        let path = file(&folder, &format!("{instance}"), &addresses[instance].to_string(), server, "");
        let node = run(&path);
        wait_for("readiness", || answers(node.address));
        node
    };
    let mut nodes: Vec<_> = (0..INSTANCES).map(start).collect();
    let (over, good, bad) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for (number, address) in addresses.iter().enumerate() {
            let (over, good, bad) = (&over, &good, &bad);
            scope.spawn(move || {
                let mut key = (number as u64) << 32;
                while !over.load(Ordering::SeqCst) {
                    key += 1;
                    let asked = || {
                        let mut stream = TcpStream::connect(address)?;
                        stream.write_all(read_request("read", key, 5_000).as_bytes())?;
                        Message::read(&mut BufReader::new(stream))
                    };
                    let served =
                        asked().is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200));
                    if served { good } else { bad }.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for instance in 0..INSTANCES {
            let node = replace(&folder, instance, nodes.remove(0));
            nodes.push(node);
        }
        over.store(true, Ordering::SeqCst);
    });
    (good.into_inner(), bad.into_inner())
}

fn upgrades(server: &CacheServer) {
    let again = |folder: &TempDir, instance: usize, old: &Node| {
        file(folder, &format!("{instance}"), &old.address.to_string(), server, "")
    };
    let (served, lost) = replaced(server, |folder, instance, old| {
        let new = run(&again(folder, instance, &old));
        assert!(old.exit_status().success());
        file(folder, &format!("{instance}"), &new.address.to_string(), server, "");
        new
    });
    println!("| {INSTANCES} instances upgraded by hand-over | {lost} of {} lost or refused |", served + lost);
    let (served, lost) = replaced(server, |folder, instance, old| {
        let address = old.address;
        old.terminate();
        assert!(old.exit_status().success());
        let new = run(&file(folder, &format!("{instance}"), &address.to_string(), server, ""));
        wait_for("readiness", || answers(new.address));
        new
    });
    println!("| the same by stop and start | {lost} of {} lost or refused |", served + lost);
}

/// What clients come to whose successor is killed.
#[derive(Default)]
struct Deaths {
    asked: AtomicU64,
    /// Connected, asked, and had no answer; of these, those that connected after the death.
    lost: AtomicU64,
    lost_later: AtomicU64,
    /// Connections refused, and of these those after the moment from which on none is to be.
    refused: AtomicU64,
    refused_later: AtomicU64,
}

/// Kills the successor once, so long after it has taken over, with four clients that ask on new connections.
fn death(server: &CacheServer, probation: &str, after: Duration, counts: &Deaths) {
    let folder = TempDir::new();
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let start = || {
        let path = file(&folder, "n", &address.to_string(), server, "");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, text.replace("probation = \"100ms\"", &format!("probation = \"{probation}\"")))
            .unwrap();
        run(&path)
    };
    let old = start();
    wait_for("readiness", || answers(address));
    let (over, died) = (AtomicBool::new(false), std::sync::OnceLock::<Instant>::new());
    std::thread::scope(|scope| {
        for number in 0..4_u64 {
            let (over, died) = (&over, &died);
            scope.spawn(move || {
                let mut key = number << 32;
                while !over.load(Ordering::SeqCst) {
                    key += 1;
                    counts.asked.fetch_add(1, Ordering::SeqCst);
                    let at = Instant::now();
                    let since = |moment: Duration| died.get().is_some_and(|died| at >= *died + moment);
                    match TcpStream::connect(address) {
                        Err(_) => {
                            counts.refused.fetch_add(1, Ordering::SeqCst);
                            counts.refused_later.fetch_add(since(SETTLED).into(), Ordering::SeqCst);
                        }
                        Ok(mut stream) => {
                            let sent = stream.write_all(read_request("read", key, 5_000).as_bytes());
                            let answer = sent.and_then(|()| Message::read(&mut BufReader::new(stream)));
                            if !answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
                            {
                                counts.lost.fetch_add(1, Ordering::SeqCst);
                                counts.lost_later.fetch_add(since(Duration::ZERO).into(), Ordering::SeqCst);
                            }
                        }
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        let mut new = start();
        wait_for("the hand-over", || old.logged("stands by") == 1);
        std::thread::sleep(after);
        new.child.kill().unwrap();
        // From its end on, not from the signal: until then it still takes requests.
        new.child.wait().unwrap();
        died.set(Instant::now()).unwrap();
        std::thread::sleep(AFTERWARDS);
        over.store(true, Ordering::SeqCst);
    });
}

/// Successors that are killed: with the process before them standing by, and with it gone as soon as it can.
fn crashes(server: &CacheServer) {
    for (what, probation) in [("the old process stands by", "10s"), ("it leaves at once", "1ms")] {
        let counts = Deaths::default();
        std::thread::scope(|scope| {
            for worker in 0..SIDE_BY_SIDE {
                let counts = &counts;
                scope.spawn(move || {
                    let mut random = fastrand::Rng::with_seed(worker as u64);
                    for _ in 0..DEATHS / SIDE_BY_SIDE {
                        death(server, probation, DEATH_WITHIN.mul_f64(random.f64()), counts);
                    }
                });
            }
        });
        let count = |count: &AtomicU64| count.load(Ordering::SeqCst);
        println!(
            "| {DEATHS} successors killed, {what} | of {} requests {} lost ({} of them sent after the death), {} refused ({} from {SETTLED:?} after it on) |",
            count(&counts.asked),
            count(&counts.lost),
            count(&counts.lost_later),
            count(&counts.refused),
            count(&counts.refused_later),
        );
    }
}

fn throughput(server: &CacheServer) {
    let served = |instances: usize| {
        let folders: Vec<_> = (0..instances).map(|_| TempDir::new()).collect();
        let nodes: Vec<_> =
            folders.iter().map(|folder| run(&file(folder, "n", "127.0.0.1:0", server, ""))).collect();
        nodes.iter().for_each(|node| wait_for("readiness", || answers(node.address)));
        let (over, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let clients: Vec<_> = (0..16)
            .map(|number| {
                let (over, count, address) = (over.clone(), count.clone(), nodes[number % instances].address);
                std::thread::spawn(move || {
                    let mut client = Client::connect(address);
                    let mut key = (number as u64) << 32;
                    while !over.load(Ordering::SeqCst) {
                        key += 1;
                        if client.request(&read_request("read", key, 5_000)).status() == 200 {
                            count.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                })
            })
            .collect();
        std::thread::sleep(MEASURED);
        over.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| client.join().unwrap());
        count.load(Ordering::SeqCst) as f64
    };
    // In turn, and the median of the ratios: the machine's speed drifts.
    let mut ratios: Vec<_> = (0..3).map(|_| served(8) / served(1)).collect();
    ratios.sort_by(f64::total_cmp);
    println!(
        "| 8 instances' throughput, 16 clients on the same cores | {:.2} times one instance's |",
        ratios[1]
    );
}
