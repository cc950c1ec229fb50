//! `cache-balancer fleet`: restarts, upgrades, drains and stops real instances.

mod common;

use common::{
    command, read_request, unique_address, wait_for, CacheServer, Client, TempDir, READ_CLASS, TIMEOUT,
};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A running fleet, killed when this is dropped.
struct Fleet {
    child: Child,
    commands: ChildStdin,
    stdout: Arc<Mutex<Vec<String>>>,
    stderr: Arc<Mutex<Vec<String>>>,
    first_address: SocketAddr,
    directory: TempDir,
    config: String,
}

fn collect_lines(from: impl std::io::Read + Send + 'static) -> Arc<Mutex<Vec<String>>> {
    let lines: Arc<Mutex<Vec<String>>> = Arc::default();
    let collected = lines.clone();
    std::thread::spawn(move || {
        BufReader::new(from)
            .lines()
            .map_while(Result::ok)
            .for_each(|line| collected.lock().unwrap().push(line));
    });
    lines
}

impl Fleet {
    fn start(server: &CacheServer, instances: u16) -> Self {
        let (directory, first_address) = (TempDir::new(), unique_address());
        let config = format!(
            "version = 1\nname = \"n\"\n[hand_over]\nsocket = \"any\"\nprobation = \"100ms\"\n[[listener]]\nname = \"clients\"\naddress = \"{first_address}\"\n[[pool]]\nname = \"p\"\n\
             [[pool.server]]\nname = \"box\"\naddress = \"{}\"\n{READ_CLASS}",
            server.address
        );
        let config_path = directory.write("cache-balancer.toml", &config);
        let fleet_directory = directory.0.join("fleet");
        let mut command = command();
        command.arg("fleet").arg("--instances").arg(instances.to_string()).arg("--config").arg(config_path);
        command
            .arg("--folder")
            .arg(fleet_directory)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let commands = child.stdin.take().unwrap();
        let stdout = collect_lines(child.stdout.take().unwrap());
        let stderr = collect_lines(child.stderr.take().unwrap());
        let fleet = Self { child, commands, stdout, stderr, first_address, directory, config };
        wait_for("all instances to serve", || fleet.logged(" serves") == usize::from(instances));
        fleet
    }

    fn send(&mut self, command: &str) {
        writeln!(self.commands, "{command}").unwrap();
    }

    fn logged(&self, text: &str) -> usize {
        self.stderr.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    fn address(&self, instance: u16) -> SocketAddr {
        SocketAddr::new(self.first_address.ip(), self.first_address.port() + instance)
    }

    fn read(&self, instance: u16, class: &str) -> u16 {
        Client::connect(self.address(instance)).request(&read_request(class, 1, 20_000)).status()
    }

    /// Requests and returns the state, process, failures and upgrades of each instance.
    fn rows(&mut self) -> Vec<[String; 4]> {
        let before = self.stdout.lock().unwrap().len();
        self.send("state");
        let parse_rows = |lines: &[String]| {
            lines[before..]
                .iter()
                .filter(|line| line.starts_with("| n-"))
                .map(|line| line.split('|').map(str::trim).map(str::to_owned).collect::<Vec<_>>())
                .map(|cells| [2, 3, 5, 6].map(|cell| cells[cell].clone()))
                .collect::<Vec<_>>()
        };
        let start = Instant::now();
        loop {
            let found = parse_rows(&self.stdout.lock().unwrap());
            if found.len() == 3 {
                return found;
            }
            assert!(start.elapsed() < TIMEOUT, "{found:?}");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }

    fn states(&mut self) -> Vec<String> {
        self.rows().into_iter().map(|[state, ..]| state).collect()
    }

    fn exit_status(&mut self) -> std::process::ExitStatus {
        common::wait_for_exit(&mut self.child)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.stderr.lock().unwrap().join("\n"));
        }
        // The instances exit when the fleet does.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn kill(process: &str) {
    assert!(Command::new("kill").args(["-KILL", process]).status().unwrap().success());
}

#[test]
fn killed_instances_are_restarted_and_all_stop_with_the_fleet() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    assert_eq!([0, 1, 2].map(|instance| fleet.read(instance, "read")), [200; 3]);
    assert_eq!(fleet.states(), ["serving"; 3]);
    let before = fleet.rows();
    kill(&before[1][1]);
    wait_for("the next process", || fleet.logged("instance 1: process 3 serves") == 1);
    let after = fleet.rows();
    assert_eq!((after[1][2].as_str(), after[1][0].as_str()), ("1", "serving"));
    assert_eq!((&after[0], &after[2]), (&before[0], &before[2]));
    assert_eq!(fleet.read(1, "read"), 200);
    fleet.send("stop");
    assert!(fleet.exit_status().success());
    assert!((0..3).all(|instance| TcpStream::connect(fleet.address(instance)).is_err()));
}

#[test]
fn upgrades_under_load_replace_every_instance_and_lose_no_request() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3_u16)
        .map(|instance| {
            let (stop, address) = (stop.clone(), fleet.address(instance));
            std::thread::spawn(move || {
                let mut responses = 0;
                while !stop.load(Ordering::SeqCst) {
                    let response = Client::connect(address).request(&read_request(
                        "read",
                        (u64::from(instance) << 32) + responses,
                        20_000,
                    ));
                    assert_eq!(response.status(), 200);
                    responses += 1;
                    // Limits the number of ports in use, since a closed connection keeps its port for a
                    // while.
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
                responses
            })
        })
        .collect();
    for rolls in 1..=2 {
        fleet.send("roll");
        wait_for("the upgrade", || fleet.logged("has taken over") == 3 * rolls);
    }
    stop.store(true, Ordering::SeqCst);
    let responses: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(server.request_count() as u64, responses);
    let upgrades: Vec<_> =
        fleet.rows().into_iter().map(|[.., failures, upgrades]| (failures, upgrades)).collect();
    assert_eq!(upgrades, vec![("0".to_owned(), "2".to_owned()); 3]);
}

#[test]
fn one_instance_can_be_drained_and_started_again_and_a_reload_reaches_all() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    fleet.send("drain 1");
    wait_for("the exit of the instance", || TcpStream::connect(fleet.address(1)).is_err());
    wait_for("the stopped state", || fleet.states() == ["serving", "stopped", "serving"]);
    assert_eq!((fleet.read(0, "read"), fleet.read(2, "read")), (200, 200));
    fleet.send("start 1");
    wait_for("the new process", || fleet.logged("instance 1: process 3 serves") == 1);
    assert_eq!(fleet.read(1, "read"), 200);
    fleet.directory.write("cache-balancer.toml", &fleet.config.replace("safe", "odd"));
    fleet.send("reload");
    wait_for("the log line of the fault", || fleet.logged("configuration rejected: ") == 1);
    assert_eq!(fleet.read(0, "read"), 200);
    let more = format!("{}[[class]]\nname = \"new\"\neffect = \"safe\"\n", fleet.config);
    fleet.directory.write("cache-balancer.toml", &more);
    fleet.send("reload");
    wait_for("all instances to reload it", || fleet.logged("configuration read again: class new added") == 3);
    assert_eq!([0, 1, 2].map(|instance| fleet.read(instance, "new")), [200; 3]);
    fleet.send("sing");
    wait_for("the log line of the unknown command", || {
        fleet.logged("expected one of state, roll, reload") == 1
    });
}

#[test]
fn instances_exit_when_the_fleet_is_killed() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    fleet.child.kill().unwrap();
    fleet.child.wait().unwrap();
    for instance in 0..3 {
        wait_for("the exit of the instances", || TcpStream::connect(fleet.address(instance)).is_err());
    }
}

#[test]
fn an_unusable_file_is_reported_and_starts_no_process() {
    let directory = TempDir::new();
    let rest = format!("[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\n{READ_CLASS}");
    let listener =
        |name: &str, port: u16| format!("[[listener]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n");
    for (listeners, expected) in [
        (listener("a", 65_534), "listener a: instance 2 would need port 65536, expected at most 65535"),
        (
            listener("a", 7_000) + &listener("b", 7_002),
            "127.0.0.1:7002 would be the address of two listeners",
        ),
        (listener("a", 7_000).replace("address", "adress"), "adress: unknown key"),
    ] {
        let config = directory.write("cache-balancer.toml", &format!("version = 1\n{listeners}{rest}"));
        let mut command = command();
        command.args(["fleet", "--instances", "3", "--config"]).arg(config).stdin(Stdio::null());
        let output = common::output_before_timeout(command);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(2) && stderr.contains(expected), "{expected}: {stderr}");
        assert!(!stderr.contains("started"), "{stderr}");
    }
}
