use super::*;
use crate::config::{operator, Source};
use proptest::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// The source of the one pool of a file with these lines in its `[[pool]]`.
fn source(lines: &str) -> Source {
    let text =
        format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}[[class]]\nname = \"a\"\n");
    let config = operator::read("cache-balancer.toml", &text, Path::new("/")).expect("a file without fault");
    config.pools[0].source.clone()
}

fn capacities() -> impl Strategy<Value = Option<ReplicaCapacity>> {
    let capacity = (LINES_PER_SECOND_RANGE, CALL_LINES_RANGE)
        .prop_map(|(lines_per_second, call_lines)| ReplicaCapacity { lines_per_second, call_lines });
    proptest::option::of(capacity)
}

/// 1 to the most addresses, of both families, each once and in no order.
fn addresses() -> impl Strategy<Value = Vec<SocketAddr>> {
    let address = (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from);
    proptest::collection::hash_set(address, 1..=DiscoveryReplicas::MOST)
        .prop_map(|addresses| addresses.into_iter().collect())
}

proptest! {
    #[test]
    fn what_is_written_is_read_as_the_same(addresses in addresses(), capacity in capacities()) {
        let replicas = DiscoveryReplicas::new(addresses, capacity);
        let mut lines = String::new();
        write(&mut lines, &replicas).expect("text takes everything");
        prop_assert_eq!(source(&lines), Source::Discovery(replicas));
    }

    #[test]
    fn the_order_of_replicas_in_the_file_means_nothing(addresses in addresses().prop_shuffle()) {
        let list = |addresses: &[SocketAddr]| {
            let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
            source(&format!("discovery = [{}]\n", addresses.join(", ")))
        };
        let backwards: Vec<_> = addresses.iter().rev().copied().collect();
        prop_assert_eq!(list(&addresses), list(&backwards));
    }
}
