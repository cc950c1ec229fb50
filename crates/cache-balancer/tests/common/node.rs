//! A node as a process, and its configuration.

use super::cache_server::CacheServer;
use super::client::Client;
use super::discovery::Discovery;
use super::files::{write_config, Folder};
use super::http::{read, Message};
use super::program::command;
use super::wait::wait_for;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// A running node, which is killed when this is dropped.
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub child: Child,
    /// Its log up to the line with its address.
    pub first: String,
    /// The lines of its log after that.
    pub log: Arc<Mutex<Vec<String>>>,
    config: std::path::PathBuf,
}

impl Node {
    /// Starts a node and waits until it listens.
    pub fn start(config: &Value) -> Self {
        let path = write_config(&config.to_string());
        // The platform sets this one beside the configuration.
        let discovery = config["discovery"].as_str().unwrap();
        let mut command = command();
        command.env("LB_CONFIG", &path).env("LB_DISCOVERY", discovery);
        Self::spawn(command, path)
    }

    /// Starts a node by this command, which has it serve from this file, and waits until it listens.
    pub fn spawn(mut command: Command, config: std::path::PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        // The lines before it listens.
        let mut first = String::new();
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended before it listened: {first}");
            if let Some((_, address)) = line.trim_end().split_once(" listens on ") {
                break address.parse().unwrap();
            }
            first += &line;
        };
        // The rest of its log must not fill the pipe.
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = lines.clone();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| kept.lock().unwrap().push(l)));
        Self { address, child, first, log: lines, config }
    }

    /// Starts a node and waits until it is ready for clients.
    pub fn ready(config: &Value) -> Self {
        let node = Self::start(config);
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        node
    }

    /// Its configuration file.
    pub fn config(&self) -> &std::path::Path {
        &self.config
    }

    /// A new connection to it.
    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// The response to a GET of this path.
    pub fn get(&self, path: &str) -> Message {
        self.client().ask(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"))
    }

    /// The response to a read on a connection of its own.
    pub fn read(&self, class: &str, key: u64) -> Message {
        self.client().ask(&read(class, key, 20_000))
    }

    /// Asks it to shut down.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends it a signal, as `kill` names it.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Replaces its configuration and signals a reload.
    pub fn reload(&self, text: &str) {
        let new = write_config(text);
        std::fs::rename(new, &self.config).unwrap();
        self.signal("-HUP");
    }

    /// The number of lines of its log that contain this text.
    pub fn said(&self, words: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(words)).count()
    }

    /// Replaces its configuration and waits until it has read it.
    pub fn reconfigure(&self, text: &str) {
        let read = || self.said("configuration read again: ") + self.said("configuration not taken: ");
        let before = read();
        self.reload(text);
        wait_for("the reload's log line", || read() > before);
    }

    /// Waits until it has ended.
    pub fn exit(mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node's exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The platform's configuration of a node that knows nothing but discovery.
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "dedup_scope": "all", "promise_us": 5_000_000,
               "hard_limit_us": 20_000_000, "repeat_window_us": 20_000_000, "worth": 1.0, "late_value": 0.5})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": "a", "zones": ["a", "b"], "balancers": 1, "membership_mode": "subscribe", "orgs": [],
            "lanes": [class("read", "safe"), class("once", "unsafe"), class("keyed", "keyed")],
            "limits": {"connect_timeout_us": 5_000_000, "keepalive_us": 60_000_000, "most_tries": 3,
                       "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000,
                       "second_copies": true, "probing": false},
        },
    })
}

/// A node that serves by an operator's file of this text, once it is ready.
pub fn run(folder: &Folder, text: &str) -> Node {
    let path = folder.write("cache-balancer.toml", text);
    let mut command = command();
    command.arg("run").arg("--config").arg(&path);
    let node = Node::spawn(command, path);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    node
}

/// A node that may hold this number of descriptors, with one server that serves everything.
pub fn small_node(descriptors: usize) -> (CacheServer, Discovery, Node) {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = json!(descriptors);
    let node = Node::ready(&small);
    (server, discovery, node)
}
