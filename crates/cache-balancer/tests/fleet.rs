//! `cache-balancer fleet`: real instances, restarted, upgraded, drained and stopped.

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

/// A running fleet; it is killed with the test.
struct Fleet {
    child: Child,
    commands: ChildStdin,
    shown: Arc<Mutex<Vec<String>>>,
    log: Arc<Mutex<Vec<String>>>,
    first: SocketAddr,
    folder: TempDir,
    text: String,
}

fn lines(from: impl std::io::Read + Send + 'static) -> Arc<Mutex<Vec<String>>> {
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
        let (folder, first) = (TempDir::new(), unique_address());
        let text = format!(
            "version = 1\nname = \"n\"\n[hand_over]\nsocket = \"any\"\nprobation = \"100ms\"\n[[listener]]\nname = \"clients\"\naddress = \"{first}\"\n[[pool]]\nname = \"p\"\n\
             [[pool.server]]\nname = \"box\"\naddress = \"{}\"\n{READ_CLASS}",
            server.address
        );
        let config = folder.write("cache-balancer.toml", &text);
        let own = folder.0.join("fleet");
        let mut command = command();
        command.arg("fleet").arg("--instances").arg(instances.to_string()).arg("--config").arg(config);
        command.arg("--folder").arg(own).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let commands = child.stdin.take().unwrap();
        let shown = lines(child.stdout.take().unwrap());
        let log = lines(child.stderr.take().unwrap());
        let fleet = Self { child, commands, shown, log, first, folder, text };
        wait_for("all instances", || fleet.logged(" serves") == usize::from(instances));
        fleet
    }

    fn command(&mut self, command: &str) {
        writeln!(self.commands, "{command}").unwrap();
    }

    fn logged(&self, text: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    fn address(&self, instance: u16) -> SocketAddr {
        SocketAddr::new(self.first.ip(), self.first.port() + instance)
    }

    fn read(&self, instance: u16, class: &str) -> u16 {
        Client::connect(self.address(instance)).request(&read_request(class, 1, 20_000)).status()
    }

    /// The row of each instance: state, process, failures, upgrades.
    fn state(&mut self) -> Vec<[String; 4]> {
        let before = self.shown.lock().unwrap().len();
        self.command("state");
        let rows = |shown: &[String]| {
            shown[before..]
                .iter()
                .filter(|line| line.starts_with("| n-"))
                .map(|line| line.split('|').map(str::trim).map(str::to_owned).collect::<Vec<_>>())
                .map(|cells| [2, 3, 5, 6].map(|cell| cells[cell].clone()))
                .collect::<Vec<_>>()
        };
        let start = Instant::now();
        loop {
            let found = rows(&self.shown.lock().unwrap());
            if found.len() == 3 {
                return found;
            }
            assert!(start.elapsed() < TIMEOUT, "{found:?}");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }

    fn states(&mut self) -> Vec<String> {
        self.state().into_iter().map(|[state, ..]| state).collect()
    }

    fn exit_status(&mut self) -> std::process::ExitStatus {
        common::wait_for_exit(&mut self.child)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.log.lock().unwrap().join("\n"));
        }
        // The instances end with the fleet.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn kill(process: &str) {
    assert!(Command::new("kill").args(["-KILL", process]).status().unwrap().success());
}

#[test]
fn instances_are_restarted_and_stop_with_the_fleet() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    assert_eq!([0, 1, 2].map(|instance| fleet.read(instance, "read")), [200; 3]);
    assert_eq!(fleet.states(), ["serving"; 3]);
    let before = fleet.state();
    kill(&before[1][1]);
    wait_for("the next process", || fleet.logged("instance 1: process 3 serves") == 1);
    let after = fleet.state();
    assert_eq!((after[1][2].as_str(), after[1][0].as_str()), ("1", "serving"));
    assert_eq!((&after[0], &after[2]), (&before[0], &before[2]));
    assert_eq!(fleet.read(1, "read"), 200);
    fleet.command("stop");
    assert!(fleet.exit_status().success());
    assert!((0..3).all(|instance| TcpStream::connect(fleet.address(instance)).is_err()));
}

#[test]
fn an_upgrade_replaces_every_instance_under_load_and_loses_no_request() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3_u16)
        .map(|instance| {
            let (over, address) = (over.clone(), fleet.address(instance));
            std::thread::spawn(move || {
                let mut answers = 0;
                while !over.load(Ordering::SeqCst) {
                    let answer = Client::connect(address).request(&read_request(
                        "read",
                        (u64::from(instance) << 32) + answers,
                        20_000,
                    ));
                    assert_eq!(answer.status(), 200);
                    answers += 1;
                    // Each connection holds a port for a while after its end.
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
                answers
            })
        })
        .collect();
    for rolls in 1..=2 {
        fleet.command("roll");
        wait_for("the upgrade", || fleet.logged("has taken over") == 3 * rolls);
    }
    over.store(true, Ordering::SeqCst);
    let answers: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(server.request_count() as u64, answers);
    let upgrades: Vec<_> =
        fleet.state().into_iter().map(|[.., failures, upgrades]| (failures, upgrades)).collect();
    assert_eq!(upgrades, vec![("0".to_owned(), "2".to_owned()); 3]);
}

#[test]
fn one_instance_is_drained_and_restarted_and_a_reload_reaches_all() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    fleet.command("drain 1");
    wait_for("the end of the instance", || TcpStream::connect(fleet.address(1)).is_err());
    wait_for("its state", || fleet.states() == ["serving", "stopped", "serving"]);
    assert_eq!((fleet.read(0, "read"), fleet.read(2, "read")), (200, 200));
    fleet.command("start 1");
    wait_for("its start", || fleet.logged("instance 1: process 3 serves") == 1);
    assert_eq!(fleet.read(1, "read"), 200);
    fleet.folder.write("cache-balancer.toml", &fleet.text.replace("safe", "odd"));
    fleet.command("reload");
    wait_for("the fault in the log", || fleet.logged("configuration not taken: ") == 1);
    assert_eq!(fleet.read(0, "read"), 200);
    let more = format!("{}[[class]]\nname = \"new\"\neffect = \"safe\"\n", fleet.text);
    fleet.folder.write("cache-balancer.toml", &more);
    fleet.command("reload");
    wait_for("all to read it", || fleet.logged("configuration read again: class new added") == 3);
    assert_eq!([0, 1, 2].map(|instance| fleet.read(instance, "new")), [200; 3]);
    fleet.command("sing");
    wait_for("the unknown command in the log", || fleet.logged("expected one of state, roll, reload") == 1);
}

#[test]
fn instances_end_with_a_killed_fleet() {
    let server = CacheServer::serving("a");
    let mut fleet = Fleet::start(&server, 3);
    fleet.child.kill().unwrap();
    fleet.child.wait().unwrap();
    for instance in 0..3 {
        wait_for("an instance's end", || TcpStream::connect(fleet.address(instance)).is_err());
    }
}

#[test]
fn a_file_that_makes_no_fleet_is_named_and_starts_nothing() {
    let folder = TempDir::new();
    let rest = format!("[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\n{READ_CLASS}");
    let listener =
        |name: &str, port: u16| format!("[[listener]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n");
    for (listeners, why) in [
        (listener("a", 65_534), "listener a: instance 2 would need port 65536, expected at most 65535"),
        (
            listener("a", 7_000) + &listener("b", 7_002),
            "127.0.0.1:7002 would be the address of two listeners",
        ),
        (listener("a", 7_000).replace("address", "adress"), "adress: unknown key"),
    ] {
        let config = folder.write("cache-balancer.toml", &format!("version = 1\n{listeners}{rest}"));
        let mut command = command();
        command.args(["fleet", "--instances", "3", "--config"]).arg(config).stdin(Stdio::null());
        let output = common::output_before_timeout(command);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(2) && stderr.contains(why), "{why}: {stderr}");
        assert!(!stderr.contains("started"), "{stderr}");
    }
}
