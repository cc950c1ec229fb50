//! Tests of when the balancer closes idle connections to servers.

mod common;
use balancer_core::*;
use common::*;

/// A new connection costs a server more than an open one. In a fleet of hundreds of nodes, where each node
/// uses a server every ten seconds, the balancer must not close connections. The node drops idle connections
/// anyway before the server would.
#[test]
fn rarely_used_connections_stay_open() {
    for (nodes, gap) in [(300, 12_000), (300, 100), (3, 12_000)] {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 1);
        for key in 0..20 {
            node.call(key, AttemptStatus::Ok);
            node.advance(ms(gap));
        }
        let closed = node.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. }));
        assert!(!closed, "connections closed with {nodes} nodes and a request every {gap} ms");
    }
}
