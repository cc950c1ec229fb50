//! Start, reload and stop of a node with the platform's configuration, on loopback sockets.

mod common;

use common::*;
use serde_json::json;
use std::sync::{Arc, Condvar, Mutex};

/// Guards against a planned restart that loses requests in flight.
#[test]
fn a_terminated_node_finishes_its_requests_and_exits_with_success() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let opened = gate.clone();
    let server = CacheServer::start(move |request| {
        if request.header("req-id") == Some("1") {
            let open = opened.0.lock().unwrap();
            drop(opened.1.wait_timeout_while(open, TIMEOUT, |open| !*open).unwrap());
        }
        ServerBehavior::Respond(response("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.send(&read_request("read", 1, 60_000));
    wait_for("the first request", || server.request_count() == 1);
    let served = idle.request(&read_request("read", 2, 20_000));
    assert_eq!((served.status(), served.header("connection")), (200, None));
    node.terminate();
    // Idle connections are closed when the node stops accepting. The accepted request is still in flight.
    assert_eq!(idle.receive(), None);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let served = waiting.receive().expect("the response to an accepted request");
    assert_eq!((served.status(), &served.body[..]), (200, &b"value"[..]));
    assert_eq!(served.header("connection"), Some("close"));
    assert!(node.exit_status().success());
}

/// Guards against idle clients that keep a node from exiting.
#[test]
fn a_terminated_node_does_not_wait_for_idle_clients() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let (mut used, mut fresh) = (node.client(), node.client());
    assert_eq!(used.request(&read_request("read", 1, 20_000)).status(), 200);
    node.terminate();
    assert_eq!(used.receive(), None);
    assert_eq!(fresh.receive(), None);
    assert!(node.exit_status().success());
}

/// Guards against a start with an incomplete configuration, and against a panic message in place of a
/// one-line error.
#[test]
fn an_unusable_configuration_fails_the_start_with_a_one_line_error() {
    let good = config("127.0.0.1:1".parse().unwrap());
    let changed = |path: &str, value: serde_json::Value| {
        let mut broken = good.clone();
        *broken.pointer_mut(path).unwrap() = value;
        broken.to_string()
    };
    let texts = [
        None,
        Some(String::new()),
        Some("{\"name\":".to_owned()),
        Some(changed("/seed", "not a number".into())),
        Some(changed("/listen", "nowhere".into())),
        Some(changed("/limits/sockets", 3.into())),
        Some(changed("/settings/lanes/0/promise_us", "soon".into())),
        Some(changed("/known/hosts", "none".into())),
    ];
    let mut paths: Vec<_> = texts.iter().map(|text| text.as_ref().map(|text| write_config(text))).collect();
    paths.push(Some("no/such/file.json".into()));
    for path in paths {
        let mut command = command();
        if let Some(path) = &path {
            command.env("LB_CONFIG", path);
        }
        let output = command.output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{path:?}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("cache-balancer: "), "{error}");
    }
}

/// Guards against a start with defaults in place of invalid settings, and against an error that does not name
/// the setting.
#[test]
fn an_invalid_setting_fails_the_start_with_its_name_and_expectation() {
    let good = config("127.0.0.1:1".parse().unwrap());
    let cases = [
        ("lanes/0/promise_us", json!("soon"), "settings.lanes.0.promise_us: expected a whole number of microseconds, at most a year, found \"soon\""),
        ("lanes/1/hard_limit_us", json!(-1), "settings.lanes.1.hard_limit_us: expected a whole number of microseconds, at most a year, found \"-1\""),
        ("lanes/1/hard_limit_us", json!(u64::MAX), "settings.lanes.1.hard_limit_us: expected a whole number of microseconds, at most a year, found \"18446744073709551615\""),
        ("lanes/1/effect", json!("harmless"), "settings.lanes.1.effect: expected one of safe, keyed, unsafe, found \"harmless\""),
        ("lanes/2/dedup_scope", json!(7), "settings.lanes.2.dedup_scope: expected one of all, zone, cell, found \"7\""),
        ("lanes/0/name", json!(""), "settings.lanes.0.name: expected a name, found nothing"),
        ("lanes/0/late_value", json!(1.5), "settings.lanes.0.late_value: expected a number from 0 to 1, found \"1.5\""),
        ("lanes/0/worth", json!(-3), "settings.lanes.0.worth: expected a number from 0 up, found \"-3\""),
        ("lanes", json!([]), "settings.lanes: expected a list of one class or more, found none"),
        ("balancers", json!(0), "settings.balancers: expected a whole number from 1 up, found \"0\""),
        ("limits/most_tries", json!("many"), "settings.limits.most_tries: expected a whole number from 1 up, found \"many\""),
        ("limits/second_copies", json!("perhaps"), "settings.limits.second_copies: expected true or false, found \"perhaps\""),
    ];
    for (path, value, message) in cases {
        let mut broken = good.clone();
        *broken["settings"].pointer_mut(&format!("/{path}")).unwrap_or(&mut json!(null)) = value.clone();
        // Some settings are not in the configuration of these tests and have to be added.
        if broken["settings"].pointer(&format!("/{path}")).is_none() {
            let (parent, name) = path.rsplit_once('/').unwrap();
            broken["settings"].pointer_mut(&format!("/{parent}")).unwrap()[name] = value;
        }
        let mut command = command();
        command.env("LB_CONFIG", write_config(&broken.to_string()));
        let output = output_before_timeout(command);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{path}");
        assert_eq!(error, format!("cache-balancer: {message}\n"));
    }
    // A reload logs the same error and changes nothing.
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let good = config(discovery.address);
    let node = Node::start_ready(&good);
    node.reconfigure(&good.to_string().replace("\"effect\":\"keyed\"", "\"effect\":\"harmless\""));
    let message = "configuration rejected: settings.lanes.2.effect: expected one of safe, keyed, unsafe";
    assert_eq!(node.logged(message), 1);
    assert_eq!(node.read("read", 1).status(), 200);
}

/// Guards against a reload that ends the node, keeps the old discovery service, or polls the new one for
/// changes since a version of the old one.
#[test]
fn a_reload_requests_a_snapshot_from_the_new_discovery_service_and_watches_it() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1"), CacheServer::serving("2")];
    let services = servers.each_ref().map(|server| Discovery::start(&[server.endpoint("s-1", "ready")]));
    let node = Node::start_ready(&config(services[0].address));
    services[0].wait_until_applied(1);
    let mut client = node.client();
    for (i, discovery) in services.iter().enumerate().skip(1) {
        assert_eq!(client.request(&read_request("read", 1, 20_000)).body, (i - 1).to_string().as_bytes());
        node.reload(&config(discovery.address).to_string());
        discovery.wait_until_applied(1);
        assert_eq!(discovery.received.lock().unwrap()[0], "/v1/servers");
        assert_eq!(client.request(&read_request("read", 1, 20_000)).body, i.to_string().as_bytes());
    }
    // The previous discovery services have no effect any more.
    services[0].publish(true, &[servers[0].endpoint("s-1", "ready")]);
    services[2].publish(false, &[]);
    services[2].wait_until_applied(2);
    assert_eq!(client.request(&read_request("read", 1, 20_000)).body, b"2");
    assert_eq!(services.each_ref().map(|discovery| discovery.request_count()), [2, 2, 3]);
}

/// Guards against a reload that ends the node or leaves it without a list. While the new discovery service
/// does not respond, the node serves with the old list.
#[test]
fn a_rejected_reload_logs_one_line_and_a_silent_discovery_service_keeps_the_old_list() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let good = config(discovery.address);
    let node = Node::start_ready(&good);
    discovery.wait_until_applied(1);
    for (i, text) in
        ["", "{\"name\":", "{}", &good.to_string().replace("8c1f30d27a5be964", "-")].iter().enumerate()
    {
        node.reload(text);
        let rejections = || {
            let log = node.log.lock().unwrap();
            log.iter().filter(|line| line.starts_with("configuration rejected: ")).count()
        };
        wait_for("the log line", || rejections() == i + 1);
        assert_eq!(node.read("read", 1).status(), 200);
    }
    // The watch of the current discovery service continues.
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload(&config(silent.local_addr().unwrap()).to_string());
    let _poll = silent.accept().unwrap();
    assert_eq!(node.read("read", 1).status(), 200);
    // A reload can also replace a discovery service that never responds.
    let polls = discovery.request_count();
    node.reload(&good.to_string());
    wait_for("a poll", || discovery.request_count() > polls);
    assert_eq!(discovery.received.lock().unwrap()[polls], "/v1/servers");
    assert_eq!(node.read("read", 1).status(), 200);
}

/// Guards against a planned restart at full capacity that loses the connections in the kernel's queue.
#[test]
fn a_terminated_node_at_capacity_serves_queued_connections() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let opened = gate.clone();
    let server = CacheServer::start(move |_| {
        let open = opened.0.lock().unwrap();
        drop(opened.1.wait_timeout_while(open, TIMEOUT, |open| !*open).unwrap());
        ServerBehavior::Respond(response("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = json!(40);
    let node = Node::start_ready(&small);
    // The node has capacity for eight requests, and all of it is used.
    let mut clients: Vec<_> = (0..8).map(|_| node.client()).collect();
    for (key, client) in clients.iter_mut().enumerate() {
        client.send(&read_request("read", key as u64, 60_000));
    }
    wait_for("eight attempts", || server.request_count() == 8);
    let mut waiting: Vec<_> = (0..3).map(|_| node.client()).collect();
    for (key, client) in waiting.iter_mut().enumerate() {
        client.send(&read_request("read", 8 + key as u64, 60_000));
    }
    node.terminate();
    let stopped_accepting =
        || node.log.lock().unwrap().iter().any(|line| line == "no further clients are accepted");
    wait_for("the end of accepting", stopped_accepting);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    for client in clients.iter_mut().chain(&mut waiting) {
        let served = client.receive().expect("the response to an accepted request");
        assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
        assert_eq!(client.receive(), None);
    }
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 11);
}
