use super::*;
use crate::config::{operator, Source};
use proptest::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// Reads a file with these lines in its only `[[pool]]`, and returns the pool's source.
fn source(lines: &str) -> Source {
    let text =
        format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}[[class]]\nname = \"a\"\n");
    let config = operator::read("cache-balancer.toml", &text, Path::new("/")).expect("a valid file");
    config.pools[0].source.clone()
}

fn capacities() -> impl Strategy<Value = Option<ReplicaCapacity>> {
    let capacity = (LINES_PER_SECOND_RANGE, CALL_LINES_RANGE)
        .prop_map(|(lines_per_second, call_lines)| ReplicaCapacity { lines_per_second, call_lines });
    proptest::option::of(capacity)
}

/// 1 to [`DiscoveryReplicas::MAX`] distinct addresses of both families, in random order.
fn addresses() -> impl Strategy<Value = Vec<SocketAddr>> {
    let address = (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from);
    proptest::collection::hash_set(address, 1..=DiscoveryReplicas::MAX)
        .prop_map(|addresses| addresses.into_iter().collect())
}

proptest! {
    #[test]
    fn written_replicas_are_read_back_unchanged(addresses in addresses(), capacity in capacities()) {
        let replicas = DiscoveryReplicas::new(addresses, capacity);
        let mut lines = String::new();
        write(&mut lines, &replicas).expect("writing to a string");
        prop_assert_eq!(source(&lines), Source::Discovery(replicas));
    }

    #[test]
    fn the_order_of_replicas_in_the_file_is_ignored(addresses in addresses().prop_shuffle()) {
        let read_list = |addresses: &[SocketAddr]| {
            let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
            source(&format!("discovery = [{}]\n", addresses.join(", ")))
        };
        let reversed: Vec<_> = addresses.iter().rev().copied().collect();
        prop_assert_eq!(read_list(&addresses), read_list(&reversed));
    }
}
