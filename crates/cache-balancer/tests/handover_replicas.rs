//! A hand-over to a process whose file names other replicas of discovery.

mod common;

use common::{command, own_address, wait_for, CacheServer, Discovery, Folder, Node};
use std::net::SocketAddr;

/// Where the nodes of a test hand over, and what they are asked for.
struct Place {
    folder: Folder,
    clients: SocketAddr,
}

impl Place {
    fn new() -> Self {
        Self { folder: Folder::new(), clients: own_address() }
    }

    /// A process that listens, or takes over from the one that does, with these replicas in its file.
    fn start(&self, replicas: &[&Discovery]) -> Node {
        let addresses: Vec<_> = replicas.iter().map(|replica| format!("\"{}\"", replica.address)).collect();
        let text = format!(
            "version = 1\nname = \"n0\"\n[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\n[[listener]]\n\
             name = \"clients\"\naddress = \"{}\"\n[[pool]]\nname = \"p\"\ndiscovery = [{}]\n\
             [[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n",
            self.clients,
            addresses.join(", "),
        );
        // An earlier node took its file along.
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

fn asked_for(replicas: &[&Discovery], path: impl Fn(&str) -> bool) -> usize {
    let asked = |replica: &&Discovery| {
        replica.asked.lock().unwrap().iter().filter(|asked| path(asked.as_str())).count()
    };
    replicas.iter().map(asked).sum()
}

fn whole_lists(replicas: &[&Discovery]) -> usize {
    asked_for(replicas, |path| path == "/v1/servers")
}

fn watches(replicas: &[&Discovery]) -> usize {
    asked_for(replicas, |path| path.starts_with("/v1/servers?after=1&"))
}

/// Two replicas of one service.
fn service(server: &CacheServer) -> [Discovery; 2] {
    [(); 2].map(|()| Discovery::start(&[server.entry("a", "ready")]))
}

/// An upgrade that adds replicas could have every node of the fleet request a snapshot.
#[test]
fn the_watch_goes_on_from_the_known_version_if_one_replica_is_common() {
    let server = CacheServer::serving("a");
    let [one, other] = service(&server);
    let place = Place::new();
    let old = place.ready(&[&one]);
    one.wait_until_told(1);
    let new = place.start(&[&one, &other]);
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    wait_for("the new process's watch", || watches(&[&one, &other]) == 2);
    assert_eq!(whole_lists(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_stays() {
    let server = CacheServer::serving("a");
    let ([one, other], [elsewhere, beside]) = (service(&server), service(&server));
    let place = Place::new();
    let old = place.ready(&[&one, &other]);
    wait_for("the old process's watch", || watches(&[&one, &other]) == 1);
    let new = place.start(&[&elsewhere, &beside]);
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    wait_for("the new process's watch", || watches(&[&elsewhere, &beside]) == 1);
    assert_eq!(whole_lists(&[&elsewhere, &beside]), 1);
    assert_eq!(whole_lists(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}
