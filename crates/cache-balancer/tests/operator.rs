//! Operator's files: the `check` command, and nodes that serve with such a file.

mod common;

use common::{
    command, output_before_timeout, read_request, response, server_table, start_with_operator_file, utf8,
    wait_for, CacheServer, Client, Discovery, Node, ServerBehavior, TempDir,
};
use std::path::Path;
use std::process::Output;

fn check(path: &Path) -> Output {
    command().arg("check").arg(path).output().unwrap()
}

const CLASS: &str =
    "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\nworth = 1.0\n";

fn listener(name: &str) -> String {
    format!("[[listener]]\nname = \"{name}\"\naddress = \"127.0.0.1:0\"\n")
}

#[test]
fn the_example_is_valid_and_its_effective_configuration_is_printed() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cache-balancer.toml");
    let checked = check(&example);
    assert!(checked.status.success(), "{}", utf8(&checked.stderr));
    let effective = utf8(&checked.stdout);
    for line in [
        "name = \"n0\"",
        "nodes = 20",
        "second_copies = true",
        "discovery = \"127.0.0.1:7100\"",
        "late_worth = 0.4",
    ] {
        assert!(effective.lines().any(|other| other == line), "{line}\n{effective}");
    }
    // The effective configuration is a valid file, and its own effective configuration is the same.
    let directory = TempDir::new();
    let again = check(&directory.write("effective.toml", effective));
    assert_eq!(utf8(&again.stdout), effective, "{}", utf8(&again.stderr));
}

/// Guards against defaults that apply only if their table is in the file, and against relative paths in the
/// effective configuration, which would name another file once it is written to another directory.
#[test]
fn a_minimal_file_gets_the_defaults_and_absolute_paths() {
    let directory = TempDir::new();
    let pool = "[[pool]]\nname = \"p\"\nfile = \"boxes.toml\"\n";
    directory.write("short.toml", &format!("version = 1\n{pool}{CLASS}"));
    let checked = command().current_dir(&directory.0).args(["check", "short.toml"]).output().unwrap();
    let effective = utf8(&checked.stdout);
    let boxes = format!("file = {:?}", directory.0.join("boxes.toml").display().to_string());
    for line in ["max_retry_after = \"2s\"", "second_copies = true", "address = \"127.0.0.1:7070\"", &boxes] {
        assert!(effective.lines().any(|other| other == line), "{line}\n{effective}");
    }
    let empty = directory.write("tables.toml", &format!("version = 1\n[limits]\n[servers]\n{pool}{CLASS}"));
    assert_eq!(utf8(&check(&empty).stdout), effective);
}

#[test]
fn descriptors_are_limited_by_the_system_and_too_few_fail_the_start() {
    let server = CacheServer::serving("a");
    let directory = TempDir::new();
    let pool = format!("[[pool]]\nname = \"p\"\n{}", server_table("box", &server));
    let listeners: String = (0..12).map(|number| listener(&format!("l{number}"))).collect();
    let few = format!("version = 1\n[limits]\ndescriptors = 40\n{listeners}{pool}{CLASS}");
    let path = directory.write("few.toml", &few);
    let mut few = command();
    few.arg("run").arg("--config").arg(&path);
    let output = output_before_timeout(few);
    assert_eq!(output.status.code(), Some(1));
    let stderr = utf8(&output.stderr);
    assert!(
        stderr.contains("40 descriptors are too few: the node reserves 35, and connections need at least 8"),
        "{stderr}"
    );
    let many = format!("version = 1\n[limits]\ndescriptors = 65536\n{}{pool}{CLASS}", listener("l"));
    let path = directory.write("many.toml", &many);
    let script = "ulimit -n 256; exec \"$0\" run --config \"$1\"";
    let mut limited = std::process::Command::new("sh");
    limited.args(["-c", script, env!("CARGO_BIN_EXE_cache-balancer")]).arg(&path);
    limited.stderr(std::process::Stdio::piped());
    let mut node = limited.spawn().unwrap();
    let mut first = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(node.stderr.take().unwrap()), &mut first)
        .unwrap();
    let _ = node.kill();
    let _ = node.wait();
    assert_eq!(first.trim_end(), "descriptors limited to 256 by the system; 65536 are configured");
}

/// Guards against systemd units that call a command which the program no longer has.
#[test]
fn the_systemd_units_call_existing_commands() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let example = deploy.join("cache-balancer.toml");
    for unit in ["cache-balancer.service", "cache-balancer@.service"] {
        let unit = std::fs::read_to_string(deploy.join(unit)).unwrap();
        let calls: Vec<_> = unit.lines().filter_map(|line| line.strip_prefix("ExecStart")).collect();
        assert_eq!(calls.len(), 2, "{unit}");
        assert!(
            unit.contains("Type=notify-reload\n")
                && unit.contains("NotifyAccess=all\n")
                && unit.contains("WatchdogSec=")
        );
        for call in calls {
            let words = call.split_once('=').unwrap().1.split(' ').skip(1);
            let words =
                words.map(|word| if word.starts_with('/') { example.to_str().unwrap() } else { word });
            // `--help` fails if an argument before it is unknown.
            let called = command().args(words).arg("--help").output().unwrap();
            assert!(called.status.success(), "{call}: {}", utf8(&called.stderr));
        }
    }
}

/// Checks a file with these lines after the version, and returns its faults.
fn faults(lines: &str) -> Vec<String> {
    let directory = TempDir::new();
    let path = directory.write("bad.toml", &format!("version = 1\n{lines}"));
    let checked = check(&path);
    assert_eq!(checked.status.code(), Some(2), "{lines}");
    assert!(checked.stdout.is_empty());
    let place = format!("{}/", directory.0.display());
    utf8(&checked.stderr).lines().map(|line| line.replacen(&place, "", 1)).collect()
}

#[test]
fn each_fault_names_line_field_and_expectation() {
    let pool = "[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\n";
    let good = format!("{pool}{CLASS}");
    let class = |rest: &str| format!("{pool}[[class]]\nname = \"a\"\n{rest}");
    let cases = [
        (CLASS.to_owned(), "bad.toml:1: pool: expected at least one [[pool]]"),
        (pool.to_owned(), "bad.toml:1: class: expected at least one [[class]]"),
        (format!("nodes = 0\n{good}"), "bad.toml:2: nodes: expected a whole number from 1 to 10000, found 0"),
        (format!("name = \"a b\"\n{good}"), "bad.toml:2: name: expected a name of up to 64 letters"),
        (format!("{good}[limit]\n"), "bad.toml:11: limit: unknown key; known here: class, hand_over, limits, "),
        (
            format!("{good}[limits]\ndescriptors = 3"),
            "bad.toml:12: limits.descriptors: expected a whole number from 32 to 65536, found 3",
        ),
        (
            format!("{good}[servers]\ncold_share = 1.5"),
            "bad.toml:12: servers.cold_share: expected a number from 0.01 to 1, found 1.5",
        ),
        (
            format!("{good}{}{}", listener("a"), listener("a")),
            "bad.toml:15: listener[1].name: expected a unique name, found \"a\" again",
        ),
        (
            format!("{good}[[listener]]\nname = \"a\"\naddress = \"localhost\""),
            "bad.toml:13: listener[0].address: expected an address and port, such as \"127.0.0.1:7070\", found \"localhost\"",
        ),
        (
            format!("[[pool]]\nname = \"p\"\n{CLASS}"),
            "bad.toml:3: pool[0].name: expected exactly one of discovery, file and [[pool.server]] in this pool",
        ),
        (
            format!("{pool}file = \"x\"\n{CLASS}"),
            "bad.toml:3: pool[0].name: expected exactly one of discovery, file and [[pool.server]] in this pool",
        ),
        (
            format!("{pool}[[pool]]\nname = \"q\"\ndiscovery = \"127.0.0.1:1\"\n{CLASS}"),
            "bad.toml:8: class[0].pool: is missing",
        ),
        (class("pool = \"q\""), "bad.toml:7: class[0].pool: expected the name of a [[pool]], found \"q\""),
        (class("effect = \"keyed\"\nscope = \"all\""), "bad.toml:5: class[0].window: is missing"),
        (
            class("aim = \"2s\"\ndeadline = \"1s\""),
            "bad.toml:8: class[0].deadline: expected a time no shorter than the aim",
        ),
        (format!("{good}{CLASS}"), "bad.toml:12: class[1].name: expected a unique name, found \"read\" again"),
    ];
    for (lines, expected) in cases {
        let found = faults(&lines);
        assert_eq!(found.len(), 1, "{lines}: {found:#?}");
        assert!(found[0].starts_with(expected), "{lines}\n{}\n{expected}", found[0]);
    }
}

#[test]
fn all_faults_are_reported_at_once_and_fail_the_start() {
    let bad = "nodes = 0\nodd = 1\n[limits]\nmax_attempts = 99\n[[listener]]\naddress = \"x\"\n";
    let found = faults(bad);
    let fields: Vec<_> = found.iter().filter_map(|line| line.split(": ").nth(1)).collect();
    let expected =
        ["pool", "class", "nodes", "odd", "limits.max_attempts", "listener[0].name", "listener[0].address"];
    assert_eq!(fields, expected);
    let directory = TempDir::new();
    let path = directory.write("bad.toml", &format!("version = 1\n{bad}"));
    let mut run = command();
    run.arg("run").arg("--config").arg(&path);
    let run = output_before_timeout(run);
    assert_eq!(run.status.code(), Some(1));
    assert!(utf8(&run.stderr).contains("bad.toml:3: odd: unknown key"), "{}", utf8(&run.stderr));
    let missing = check(&directory.0.join("none.toml"));
    assert_eq!(missing.status.code(), Some(2));
    assert!(utf8(&missing.stderr).contains("none.toml: No such file"), "{}", utf8(&missing.stderr));
}

#[test]
fn every_listener_serves_every_class_from_the_pool_of_the_class() {
    let (one, other) = (CacheServer::serving("one"), CacheServer::serving("other"));
    let class = |name: &str, pool: &str| {
        format!("[[class]]\nname = \"{name}\"\npool = \"{pool}\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n")
    };
    let directory = TempDir::new();
    let pools = format!(
        "[[pool]]\nname = \"p\"\n{}[[pool]]\nname = \"q\"\n{}",
        server_table("box", &one),
        server_table("box", &other)
    );
    let listeners = format!("{}{}", listener("here"), listener("there"));
    let node = start_with_operator_file(
        &directory,
        &format!("version = 1\n{listeners}{pools}{}{}", class("a", "p"), class("b", "q")),
    );
    let second = || node.log.lock().unwrap().iter().find_map(|line| line.rsplit(' ').next()?.parse().ok());
    wait_for("the second listener", || second().is_some());
    for mut client in [node.client(), Client::connect(second().unwrap())] {
        assert_eq!(client.request(&read_request("a", 1, 20_000)).body, b"one");
        assert_eq!(client.request(&read_request("b", 1, 20_000)).body, b"other");
    }
    assert_eq!((one.request_count(), other.request_count()), (2, 2));
    node.terminate();
    assert!(node.exit_status().success());
}

#[test]
fn a_pool_with_discovery_is_not_ready_before_its_list_arrives() {
    let server = CacheServer::serving("a");
    let discovery = Discovery::start(&[]);
    let directory = TempDir::new();
    let pool = format!("[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n", discovery.address);
    let path =
        directory.write("cache-balancer.toml", &format!("version = 1\n{}{pool}{CLASS}", listener("clients")));
    let mut command = command();
    command.arg("run").arg("--config").arg(&path);
    let node = Node::spawn(command, path);
    discovery.wait_until_applied(1);
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.publish(true, &[server.endpoint("box", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    assert_eq!(node.read("read", 1).body, b"a");
}

/// Guards against the loss of the list while its file is incomplete or missing.
#[test]
fn changes_of_a_list_file_are_applied_and_an_unusable_file_changes_nothing() {
    let (one, other) = (CacheServer::serving("one"), CacheServer::serving("other"));
    let list = |entries: &[(&str, &CacheServer, &str)]| {
        let tables = entries.iter().map(|(name, server, health)| {
            format!(
                "[[server]]\nname = \"{name}\"\naddress = \"{}\"\nhealth = \"{health}\"\n",
                server.address
            )
        });
        format!("version = 1\n{}", tables.collect::<String>())
    };
    let directory = TempDir::new();
    directory.write("boxes.toml", &list(&[("one", &one, "ready")]));
    // Slow start is disabled, so that an added server gets requests at once.
    let pool = "[servers]\ncold_share = 1.0\n[[pool]]\nname = \"p\"\nfile = \"boxes.toml\"\n";
    let node =
        start_with_operator_file(&directory, &format!("version = 1\n{}{pool}{CLASS}", listener("clients")));
    assert_eq!(node.read("read", 1).body, b"one");
    let logged = |text: &str| node.logged(text) > 0;
    directory.write("boxes.toml", "version = 1\n[[server]]\nname = \"oth");
    wait_for("the log line of the fault", || logged("boxes.toml:3: TOML: "));
    assert!(logged("list rejected; the previous list stays in use"));
    assert_eq!(node.read("read", 2).body, b"one");
    std::fs::remove_file(directory.0.join("boxes.toml")).unwrap();
    wait_for("the log line of the missing file", || logged("boxes.toml: No such file"));
    assert_eq!(node.read("read", 3).body, b"one");
    directory.write("boxes.toml", &"#".repeat((8 << 20) + 1));
    wait_for("the log line of the oversized file", || logged("expected a list of at most 8388608 bytes"));
    assert_eq!(node.read("read", 7).body, b"one");
    let before = one.request_count();
    directory.write("boxes.toml", &list(&[("one", &one, "draining"), ("other", &other, "ready")]));
    wait_for("the new list", || node.read("read", 4).body == b"other");
    assert_eq!(node.read("read", 5).body, b"other");
    // The old list was in use until the new one was read, so `one` may have got requests.
    let requests_before_new_list = one.request_count() - before;
    directory.write("boxes.toml", &list(&[("other", &other, "ready")]));
    assert_eq!(node.read("read", 6).body, b"other");
    assert_eq!(one.request_count() - before, requests_before_new_list);
}

#[test]
fn a_stop_finishes_the_requests_in_flight_on_every_listener() {
    let (sender, receiver) = std::sync::mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let slow = CacheServer::start(move |_| {
        let _ = receiver.lock().unwrap().recv();
        ServerBehavior::Respond(response("200 OK", "", "late"))
    });
    let directory = TempDir::new();
    let pool = format!("[[pool]]\nname = \"p\"\n{}", server_table("box", &slow));
    let listeners = format!("{}{}", listener("here"), listener("there"));
    let node = start_with_operator_file(&directory, &format!("version = 1\n{listeners}{pool}{CLASS}"));
    let second = || node.log.lock().unwrap().iter().find_map(|line| line.rsplit(' ').next()?.parse().ok());
    wait_for("the second listener", || second().is_some());
    let mut client = Client::connect(second().unwrap());
    let request = std::thread::spawn(move || client.request(&read_request("read", 1, 20_000)));
    wait_for("the request", || slow.request_count() == 1);
    node.terminate();
    let stopped_accepting =
        || node.log.lock().unwrap().iter().filter(|line| line.contains("no further clients")).count();
    wait_for("the end of accepting on both listeners", || stopped_accepting() == 2);
    sender.send(()).unwrap();
    let response = request.join().unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"late"[..]));
    assert!(node.exit_status().success());
}
