//! A hand-over to a process whose configuration names other replicas of discovery.

mod common;

use common::{command, own_address, wait_for, CacheServer, Discovery, Folder, Node};
use std::net::SocketAddr;

/// The folder and the listener that the processes of a test share.
struct Site {
    folder: Folder,
    clients: SocketAddr,
}

impl Site {
    fn new() -> Self {
        Self { folder: Folder::new(), clients: own_address() }
    }

    /// Starts a process with these replicas in its file, which takes over from the one that listens, if any.
    fn start(&self, replicas: &[&Discovery]) -> Node {
        let addresses: Vec<_> = replicas.iter().map(|replica| format!("\"{}\"", replica.address)).collect();
        let text = format!(
            "version = 1\nname = \"n0\"\n[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\n[[listener]]\n\
             name = \"clients\"\naddress = \"{}\"\n[[pool]]\nname = \"p\"\ndiscovery = [{}]\n\
             [[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n",
            self.clients,
            addresses.join(", "),
        );
        // The file of an earlier process is gone with it.
        let path = self.folder.write("cache-balancer.toml", &text);
        let mut command = command();
        command.arg("run").arg("--config").arg(&path);
        Node::spawn(command, path)
    }

    fn ready(&self, replicas: &[&Discovery]) -> Node {
        let node = self.start(replicas);
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        wait_for("the socket", || self.folder.0.join("n.sock").exists());
        node
    }
}

fn count_polls(replicas: &[&Discovery], path: impl Fn(&str) -> bool) -> usize {
    let polls = |replica: &&Discovery| {
        replica.asked.lock().unwrap().iter().filter(|asked| path(asked.as_str())).count()
    };
    replicas.iter().map(polls).sum()
}

fn snapshots(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path == "/v1/servers")
}

fn watches(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path.starts_with("/v1/servers?after=1&"))
}

/// Two replicas of one service.
fn service(server: &CacheServer) -> [Discovery; 2] {
    [(); 2].map(|()| Discovery::start(&[server.entry("a", "ready")]))
}

/// A fleet is upgraded while replicas are added. If each new process requested a snapshot, discovery would be overloaded for
/// as long as the upgrade takes.
#[test]
fn the_watch_continues_from_the_held_version_if_one_replica_remains() {
    let server = CacheServer::serving("a");
    let [one, other] = service(&server);
    let site = Site::new();
    let old = site.ready(&[&one]);
    one.wait_until_told(1);
    let new = site.start(&[&one, &other]);
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    wait_for("the new process's watch", || watches(&[&one, &other]) == 2);
    assert_eq!(snapshots(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_remains() {
    let server = CacheServer::serving("a");
    let ([one, other], [elsewhere, beside]) = (service(&server), service(&server));
    let site = Site::new();
    let old = site.ready(&[&one, &other]);
    wait_for("the old process's watch", || watches(&[&one, &other]) == 1);
    let new = site.start(&[&elsewhere, &beside]);
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    wait_for("the new process's watch", || watches(&[&elsewhere, &beside]) == 1);
    assert_eq!(snapshots(&[&elsewhere, &beside]), 1);
    assert_eq!(snapshots(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}
