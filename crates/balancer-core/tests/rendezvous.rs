//! How keys spread over servers, and what moves when the list changes.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

fn owners(node: &mut Node) -> BTreeMap<u64, ServerId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.call(key, AttemptStatus::Ok).expect("served"));
        node.requests.clear();
        node.advance(ms(10));
    }
    owners
}

fn share(owners: &BTreeMap<u64, ServerId>, server: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == server).count() as f64 / owners.len() as f64
}

#[test]
fn a_removed_server_moves_its_own_keys_only_and_gets_them_back() {
    let mut node = Node::with_servers(settings(), 8);
    let before = owners(&mut node);
    let gone = Endpoint { state: EndpointState::Removed, ..Endpoint::new("d") };
    node.apply_delta(vec![gone]);
    let without = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&without[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share(&without, other) > share(&before, other),
            "the leaver's keys spread over all the others"
        );
    }
    node.apply_delta(vec![Endpoint::new("d")]);
    assert_eq!(owners(&mut node), before);
}

#[test]
fn shares_of_keys_follow_weights() {
    let mut node = Node::new(settings(), 1);
    let sized = |id: &str, weight| Endpoint { weight, ..Endpoint::new(id) };
    node.apply_snapshot(vec![sized("a", 1.0), sized("b", 1.0), sized("c", 2.0)]);
    let owners = owners(&mut node);
    assert!((share(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share(&owners, "c") - 0.5).abs() < 0.04);
}

#[test]
fn nodes_with_other_seeds_and_list_orders_agree() {
    let mut one = Node::with_servers(settings(), 5);
    let mut two = Node::new(settings(), 99);
    two.apply_snapshot(["e", "c", "a", "b", "d"].map(Endpoint::new).to_vec());
    assert_eq!(owners(&mut one), owners(&mut two));
}
