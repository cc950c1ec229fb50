//! Distribution of keys over servers, and which keys move when the endpoint list changes.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// Returns the server of each of 2,000 keys.
fn owners(node: &mut Node) -> BTreeMap<u64, ServerId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.call(key, AttemptStatus::Ok).expect("served"));
        node.requests.clear();
        node.advance(ms(10));
    }
    owners
}

/// Returns the fraction of the keys that a server owns.
fn share(owners: &BTreeMap<u64, ServerId>, server: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == server).count() as f64 / owners.len() as f64
}

#[test]
fn removing_a_server_moves_only_its_keys_and_its_return_restores_them() {
    let mut node = Node::with_servers(settings(), 8);
    let before = owners(&mut node);
    let removed = Endpoint { state: EndpointState::Removed, ..Endpoint::new("d") };
    node.apply_delta(vec![removed]);
    let without = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&without[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share(&without, other) > share(&before, other),
            "the keys of the removed server are distributed over all others"
        );
    }
    node.apply_delta(vec![Endpoint::new("d")]);
    assert_eq!(owners(&mut node), before);
}

#[test]
fn shares_of_keys_are_proportional_to_weights() {
    let mut node = Node::new(settings(), 1);
    let with_weight = |id: &str, weight| Endpoint { weight, ..Endpoint::new(id) };
    node.apply_snapshot(vec![with_weight("a", 1.0), with_weight("b", 1.0), with_weight("c", 2.0)]);
    let owners = owners(&mut node);
    assert!((share(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share(&owners, "c") - 0.5).abs() < 0.04);
}

#[test]
fn nodes_with_different_seeds_and_list_orders_agree() {
    let mut first = Node::with_servers(settings(), 5);
    let mut second = Node::new(settings(), 99);
    second.apply_snapshot(["e", "c", "a", "b", "d"].map(Endpoint::new).to_vec());
    assert_eq!(owners(&mut first), owners(&mut second));
}

/// Where the weights on the list do not reflect speed, servers of a slow kind would get as many keys as fast
/// ones, and requests would queue there.
#[test]
fn a_slow_kind_gets_fewer_keys_where_weights_do_not_reflect_speed() {
    let share_of_slow_kind = |weights_reflect_speed| {
        let mut node = Node::new(Settings { weights_reflect_speed, ..settings() }, 1);
        let endpoint = |i: u8| Endpoint {
            kind: Some(Name::from(if i < 5 { "x" } else { "y" })),
            ..Endpoint::new(&char::from(b'a' + i).to_string())
        };
        node.apply_snapshot((0..10).map(endpoint).collect());
        let mut rng = fastrand::Rng::with_seed(3);
        let mut to_slow = 0;
        for step in 0..2_000 {
            let id = node.request(0, rng.u64(..), ms(400));
            let (_, server) = node.in_flight(&id).expect("sent");
            let is_slow = server.as_str() < "f";
            to_slow += u32::from(is_slow && step >= 1_000);
            node.advance(ms(if is_slow { 60 } else { 20 }));
            node.answer(&id, AttemptStatus::Ok);
            node.requests.clear();
        }
        f64::from(to_slow) / 1_000.0
    };
    assert!((0.45..0.55).contains(&share_of_slow_kind(true)), "{}", share_of_slow_kind(true));
    assert!((0.2..0.3).contains(&share_of_slow_kind(false)), "{}", share_of_slow_kind(false));
}
