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

fn pool(source: &Source) -> PoolState {
    PoolState::new("p", source, EndpointList::default(), LearnedState::default())
}

/// The state of a pool, as it goes over the link.
fn written(source: &Source) -> Value {
    let state = serde_json::to_value(State::new(vec![pool(source)])).expect("JSON of a state");
    state["pools"][0].clone()
}

/// The pool of a state whose JSON has these fields beside those that every version writes.
fn read(fields: Value) -> PoolState {
    let mut pool = json!({
        "name": "p",
        "listing": {"seq": 7, "whole": true, "hosts": []},
        "knowledge": LearnedState::default(),
    });
    let fields = fields.as_object().expect("fields").clone();
    pool.as_object_mut().expect("a pool").extend(fields);
    let mut state = State::read(json!({"version": STATE_VERSION, "pools": [pool]})).expect("a state");
    assert_eq!(state.pools.len(), 1);
    state.pools.remove(0)
}

#[test]
fn a_state_of_the_version_before_is_read_and_its_address_compared() {
    let of_one = read(json!({"discovery": "127.0.0.1:1"}));
    assert_eq!(of_one.endpoint_list.version, 7);
    assert!(of_one.shares_versions_with(&replicas(&[1])));
    assert!(of_one.shares_versions_with(&replicas(&[1, 2])));
    assert!(!of_one.shares_versions_with(&replicas(&[2])));
    let of_a_file = read(json!({"discovery": null}));
    assert!(!of_a_file.shares_versions_with(&replicas(&[1])));
    assert!(!of_a_file.shares_versions_with(&Source::Fixed));
}

/// A state that the version before cannot read would make the node forget its list and its breakers on a rollback.
#[test]
fn one_address_is_written_as_the_version_before_wrote_it() {
    let one = written(&replicas(&[1]));
    assert_eq!(one["discovery"], "127.0.0.1:1");
    assert_eq!(one.get("replicas"), None);
    let file = written(&Source::File("boxes.toml".into()));
    assert_eq!((&file["discovery"], file.get("replicas")), (&Value::Null, None));
}

#[test]
fn several_replicas_are_all_written_and_the_one_address_is_left_out() {
    let several = written(&replicas(&[2, 1]));
    assert_eq!(several["discovery"], Value::Null);
    assert_eq!(several["replicas"], json!(["127.0.0.1:1", "127.0.0.1:2"]));
}

#[test]
fn versions_are_shared_while_one_replica_is_common() {
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
        let state = serde_json::to_value(State::new(vec![pool(&replicas(before))])).expect("JSON of a state");
        let state = State::read(state).expect("a state");
        assert_eq!(state.pools[0].shares_versions_with(&replicas(after)), common, "{before:?} {after:?}");
    }
}

#[test]
fn capacity_does_not_distinguish_discovery_services() {
    let capacity = Some(ReplicaCapacity { lines_per_second: 200.0, call_lines: 10.0 });
    let stated = Source::Discovery(DiscoveryReplicas::new(vec![address(1)], capacity));
    assert!(pool(&stated).shares_versions_with(&replicas(&[1])));
    assert!(pool(&replicas(&[1])).shares_versions_with(&stated));
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
    for bad in [json!(["x"]), json!("127.0.0.1:1"), json!([1])] {
        assert!(matches!(state(bad.clone()), Err(StateError::Unreadable(_))), "{bad}");
    }
}
