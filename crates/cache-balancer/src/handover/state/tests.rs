use super::*;
use balancer_core::discovery::ReplicaCapacity;
use serde_json::{json, Value};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn replicas(ports: &[u16]) -> Source {
    let addresses = ports.iter().map(|port| address(*port)).collect();
    Source::Discovery(DiscoveryReplicas::new(addresses, None))
}

fn pool_state(source: &Source) -> PoolState {
    PoolState::new("p", source, EndpointList::default(), LearnedState::default())
}

/// Serializes the state of a pool as it is sent over the link.
fn serialized(source: &Source) -> Value {
    let state = serde_json::to_value(State::new(vec![pool_state(source)])).expect("serializable state");
    state["pools"][0].clone()
}

/// Parses a state with one pool, whose JSON has `fields` in addition to those that every version writes.
fn parse_pool(fields: Value) -> PoolState {
    let mut pool = json!({
        "name": "p",
        "listing": {"seq": 7, "whole": true, "hosts": []},
        "knowledge": LearnedState::default(),
    });
    let fields = fields.as_object().expect("a JSON object").clone();
    pool.as_object_mut().expect("a JSON object").extend(fields);
    let mut state = State::read(json!({"version": STATE_VERSION, "pools": [pool]})).expect("a valid state");
    assert_eq!(state.pools.len(), 1);
    state.pools.remove(0)
}

#[test]
fn a_state_of_the_previous_version_is_read_and_its_address_compared() {
    let from_discovery = parse_pool(json!({"discovery": "127.0.0.1:1"}));
    assert_eq!(from_discovery.endpoint_list.version, 7);
    assert!(from_discovery.shares_versions_with(&replicas(&[1])));
    assert!(from_discovery.shares_versions_with(&replicas(&[1, 2])));
    assert!(!from_discovery.shares_versions_with(&replicas(&[2])));
    let from_file = parse_pool(json!({"discovery": null}));
    assert!(!from_file.shares_versions_with(&replicas(&[1])));
    assert!(!from_file.shares_versions_with(&Source::Fixed));
}

/// If the previous version could not read the state, a node would lose its endpoint list and its breakers on
/// a rollback to that version.
#[test]
fn a_single_address_is_serialized_as_in_the_previous_version() {
    let one = serialized(&replicas(&[1]));
    assert_eq!(one["discovery"], "127.0.0.1:1");
    assert_eq!(one.get("replicas"), None);
    let file = serialized(&Source::File("boxes.toml".into()));
    assert_eq!((&file["discovery"], file.get("replicas")), (&Value::Null, None));
}

#[test]
fn several_replicas_are_serialized_without_the_single_address() {
    let several = serialized(&replicas(&[2, 1]));
    assert_eq!(several["discovery"], Value::Null);
    assert_eq!(several["replicas"], json!(["127.0.0.1:1", "127.0.0.1:2"]));
}

#[test]
fn versions_are_shared_if_one_replica_is_common() {
    let cases: [(&[u16], &[u16], bool); 7] = [
        (&[1], &[1], true),
        (&[1, 2], &[2, 1], true),
        (&[1, 2], &[2, 3], true),
        (&[1, 2], &[2], true),
        (&[1], &[1, 2, 3], true),
        (&[1, 2], &[3, 4], false),
        (&[1], &[2], false),
    ];
    for (before, after, common) in cases {
        let state = serde_json::to_value(State::new(vec![pool_state(&replicas(before))]))
            .expect("serializable state");
        let state = State::read(state).expect("a valid state");
        assert_eq!(state.pools[0].shares_versions_with(&replicas(after)), common, "{before:?} {after:?}");
    }
}

#[test]
fn versions_are_shared_regardless_of_replica_capacity() {
    let capacity = Some(ReplicaCapacity { lines_per_second: 200.0, call_lines: 10.0 });
    let with_capacity = Source::Discovery(DiscoveryReplicas::new(vec![address(1)], capacity));
    assert!(pool_state(&with_capacity).shares_versions_with(&replicas(&[1])));
    assert!(pool_state(&replicas(&[1])).shares_versions_with(&with_capacity));
}

#[test]
fn a_state_with_invalid_replicas_is_rejected() {
    let state = |replicas: Value| {
        let pool = json!({
            "name": "p", "discovery": null, "replicas": replicas,
            "listing": {"seq": 7, "whole": true, "hosts": []}, "knowledge": LearnedState::default(),
        });
        State::read(json!({"version": STATE_VERSION, "pools": [pool]}))
    };
    assert!(state(json!(["127.0.0.1:1"])).is_ok());
    for invalid in [json!(["x"]), json!("127.0.0.1:1"), json!([1])] {
        assert!(matches!(state(invalid.clone()), Err(StateError::Unreadable(_))), "{invalid}");
    }
}
