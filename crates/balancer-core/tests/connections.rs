//! Connections to servers.

mod common;
use balancer_core::*;
use common::*;

/// A new connection costs a server more than one that stays open. One of hundreds of nodes, which meets a
/// server every ten seconds, must not close its connections: the node drops them anyway before the server
/// would.
#[test]
fn connections_that_one_of_many_nodes_rarely_uses_stay_open() {
    for (nodes, gap) in [(300, 12_000), (300, 100), (3, 12_000)] {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 1);
        for key in 0..20 {
            node.call(key, AttemptStatus::Ok);
            node.advance(ms(gap));
        }
        let closed = node.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. }));
        assert!(!closed, "{nodes} nodes, met every {gap} ms");
    }
}
