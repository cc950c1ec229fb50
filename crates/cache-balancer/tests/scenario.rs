//! `cache-balancer scenario` run as a command.

mod common;

use common::{command, run_program, utf8, wait_for, TempDir};
use std::io::{BufReader, Read};
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::Duration;

/// Runs the program with these arguments and returns its output. Scenarios run in virtual time.
fn cache_balancer(arguments: &[&str]) -> Output {
    if arguments.contains(&"list") || arguments.contains(&"check") {
        return run_program(arguments);
    }
    run_program(&[arguments, &["--player=virtual"]].concat())
}

/// Writes a script into a directory and returns its path.
fn script_file(directory: &TempDir, name: &str, text: &str) -> String {
    directory.write(name, text).to_str().unwrap().to_owned()
}

const SHORT: &str = "version = 1\nname = \"short\"\nlength = \"4s\"\nnodes = 2\n";

#[test]
fn without_a_script_the_default_is_run_and_shown_as_a_table_and_charts() {
    let output = cache_balancer(&["scenario"]);
    let shown = utf8(&output.stdout);
    assert!(output.status.success(), "{shown}");
    assert!(shown.contains("rules broken, 1 to 4") && shown.contains("  service  █"), "{shown}");
    assert!(shown.contains("held: service "), "{shown}");
}

/// Operators' scripts written for version 0.2 call `rehearse`. Without this name they would fail after an
/// upgrade.
#[test]
fn the_former_command_name_is_accepted() {
    let former = cache_balancer(&["rehearse", "list"]);
    assert!(former.status.success());
    assert_eq!(former.stdout, cache_balancer(&["scenario", "list"]).stdout);
}

#[test]
fn built_in_scenarios_are_listed() {
    let listed = cache_balancer(&["scenario", "list"]);
    let names: Vec<_> = utf8(&listed.stdout).lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(names.len() >= 11 && names.contains(&"calm") && names.contains(&"rolling-deploy"), "{names:?}");
}

/// Results must be reproducible from a script and its seed.
#[test]
fn two_runs_of_a_script_file_print_the_same_line_of_json() {
    let directory = TempDir::new();
    let file = script_file(&directory, "short.toml", SHORT);
    let first = cache_balancer(&["scenario", &file, "--json"]);
    assert!(first.status.success());
    assert_eq!(utf8(&first.stdout).lines().count(), 1);
    let json: serde_json::Value = serde_json::from_slice(&first.stdout).unwrap();
    assert_eq!((json["name"].as_str(), json["verdict"]["broken"][0].as_u64()), (Some("short"), Some(0)));
    assert_eq!(first.stdout, cache_balancer(&["scenario", "run", &file, "--json"]).stdout);
    assert_ne!(first.stdout, cache_balancer(&["scenario", &file, "--json", "--seed", "9"]).stdout);
}

#[test]
fn an_unusable_script_is_reported_in_one_line_with_exit_code_2_and_not_run() {
    let directory = TempDir::new();
    let bad = script_file(&directory, "bad.toml", &format!("{SHORT}speed = 3\n"));
    let fault = format!("{bad}:5: speed: unknown key; ");
    for arguments in [&["scenario", &bad][..], &["scenario", "check", &bad]] {
        let output = cache_balancer(arguments);
        assert_eq!((output.status.code(), utf8(&output.stdout)), (Some(2), ""));
        assert!(utf8(&output.stderr).starts_with(&fault), "{}", utf8(&output.stderr));
        assert_eq!(utf8(&output.stderr).lines().count(), 1);
    }
    let output = cache_balancer(&["scenario", "no-such-scenario"]);
    assert_eq!((output.status.code(), utf8(&output.stdout)), (Some(2), ""));
    assert!(utf8(&output.stderr).contains("expected the name of a scenario or the path of a script"));
}

#[test]
fn check_describes_a_script_and_a_missed_expectation_exits_with_code_1() {
    let directory = TempDir::new();
    let incident =
        "[[incident]]\nkind = \"pause\"\nat = \"1s\"\nover = \"2s\"\nshare = 1.0\n[expect]\nservice = 1.0\n";
    let file = script_file(&directory, "missed.toml", &format!("{SHORT}{incident}"));
    let checked = cache_balancer(&["scenario", "check", &file]);
    assert!(checked.status.success());
    assert!(
        utf8(&checked.stdout).contains("1s: 100% of the boxes standing still for 2s"),
        "{}",
        utf8(&checked.stdout)
    );
    let missed = cache_balancer(&["scenario", &file]);
    assert_eq!(missed.status.code(), Some(1));
    assert!(utf8(&missed.stdout).contains("MISSED: service 1 expected"), "{}", utf8(&missed.stdout));
}

#[test]
fn the_html_page_is_self_contained_and_shows_every_timeline() {
    let directory = TempDir::new();
    let (file, page) =
        (script_file(&directory, "page.toml", SHORT), script_file(&directory, "page.html", ""));
    assert!(cache_balancer(&["scenario", &file, "--html", &page]).status.success());
    let html = std::fs::read_to_string(&page).unwrap();
    assert_eq!(html.matches("<svg").count(), 5);
    assert!(!html.contains("src=") && !html.contains("href="), "the page refers to other files");
    assert!(html.contains("held: rules broken 0 expected"));
}

#[test]
fn spread_prints_a_table_row_for_several_runs_of_a_script() {
    let directory = TempDir::new();
    let file = script_file(&directory, "spread.toml", SHORT);
    let spread = ["scenario", "spread", &file, "--plays", "3", "--seeds", "4"];
    let output = cache_balancer(&spread);
    let shown = utf8(&output.stdout);
    assert!(output.status.success(), "{shown}");
    let row: Vec<_> = shown.lines().last().unwrap().split('|').map(str::trim).collect();
    assert_eq!(row[1..4], ["short", "3", "3 of 3"], "{shown}");
    assert_eq!((row[5], row[6], row[9], row[10]), ("0.00%", "4", "0", "0"), "{shown}");
    // A missed expectation exits with code 1; an unusable script is reported before any script is run.
    let missed = script_file(&directory, "spread-missed.toml", &format!("{SHORT}[expect]\nservice = 1.0\n"));
    assert_eq!(cache_balancer(&["scenario", "spread", &missed, "--plays", "1"]).status.code(), Some(1));
    let unknown = cache_balancer(&["scenario", "spread", &file, "no-such-scenario"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(utf8(&unknown.stderr).starts_with("no-such-scenario: ") && unknown.stdout.is_empty());
}

/// Maximum number of runs. If all of them are void, the machine is too busy and the test passes without a
/// verdict.
const MAX_RUNS: u32 = 3;

/// Script in which nodes are killed and shut down, servers drain, leave and are cut off, and the network
/// loses packets, resets connections and forgets them.
const ROUGH: &str = "version = 1\nname = \"rough\"\nlength = \"5s\"\nnodes = 3\n[load]\nrate = 100\n\
    [[box]]\nname = \"box\"\ncount = 20\nidle = \"200ms\"\n\
    [[incident]]\nkind = \"loss\"\nat = \"500ms\"\nover = \"4s\"\nshare = 0.3\nrate = 0.05\n\
    [[incident]]\nkind = \"resets\"\nat = \"500ms\"\nover = \"4s\"\nshare = 0.3\nrate = 0.3\n\
    [[incident]]\nkind = \"restart-nodes\"\nat = \"1s\"\nover = \"1s\"\nshare = 0.3\nbatch = 0.4\ndown = \"200ms\"\n\
    [[incident]]\nkind = \"restart-nodes\"\nat = \"1500ms\"\nover = \"1s\"\nshare = 0.3\nbatch = 0.4\nkilled = true\n\
    [[incident]]\nkind = \"deploy\"\nat = \"1500ms\"\nover = \"2s\"\nshare = 0.3\nbatch = 0.1\ndrain = \"1s\"\nsame_address = true\n\
    [[incident]]\nkind = \"vanish\"\nat = \"2s\"\nover = \"1s\"\nshare = 0.1\n\
    [[incident]]\nkind = \"half-open\"\nat = \"2s\"\nover = \"1s\"\nshare = 1.0\n\
    [[incident]]\nkind = \"delay\"\nat = \"3s\"\nover = \"1s\"\nshare = 0.5\nextra = \"5ms\"\n";

/// Script with twenty nodes. A server returns cold while all nodes are reloaded repeatedly and replaced by
/// hand-over; then all nodes are killed at once.
const FLEET: &str = "version = 1\nname = \"fleet\"\nlength = \"8s\"\nnodes = 20\n[load]\nrate = 100\n\
    [[incident]]\nkind = \"crash\"\nat = \"500ms\"\nover = \"1s\"\nshare = 0.05\n\
    [[incident]]\nkind = \"reload\"\nat = \"1s\"\nover = \"4s\"\nshare = 1.0\ntimes = 5\n\
    [[incident]]\nkind = \"upgrade\"\nat = \"1500ms\"\nover = \"4s\"\nshare = 1.0\nbatch = 0.1\n\
    [[incident]]\nkind = \"restart-nodes\"\nat = \"7s\"\nover = \"0s\"\nshare = 1.0\nbatch = 1.0\ndown = \"100ms\"\nkilled = true\n";

/// Runs the daemon itself with the faults of [`ROUGH`].
#[test]
fn the_daemon_keeps_the_rules_on_sockets_or_the_run_is_reported_void() {
    assert_rules_kept("rough.toml", ROUGH);
}

#[test]
fn twenty_daemons_that_reload_hand_over_and_restart_keep_the_rules() {
    assert_rules_kept("fleet.toml", FLEET);
}

fn assert_rules_kept(name: &str, script: &str) {
    let directory = TempDir::new();
    let file = script_file(&directory, name, script);
    let arguments = ["scenario", &file, "--player=sockets", "--json"];
    let run = || run_program(&arguments);
    let is_void = |output: &Output| output.status.code() == Some(3);
    // A run on a busy machine is void and prints only the reason. It is repeated in case the load is
    // temporary.
    let output = (1..MAX_RUNS).fold(run(), |output, _| if is_void(&output) { run() } else { output });
    let stderr = utf8(&output.stderr);
    if is_void(&output) {
        assert!(stderr.contains("VOID: this machine was too busy") && output.stdout.is_empty(), "{stderr}");
        eprintln!("not judged: void in {MAX_RUNS} of {MAX_RUNS} runs");
        return;
    }
    let json: serde_json::Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{stderr}"));
    let verdict = &json["verdict"];
    assert_eq!(verdict["broken"], serde_json::json!([0, 0, 0, 0]), "{}", verdict["breaches"]);
    assert!(verdict["asked"].as_u64() > Some(300) && verdict["answers"][0].as_u64() > Some(300), "{verdict}");
    assert_eq!(json["partial"], false);
}

/// Time for which the player is stopped in each pause.
const PAUSE_DURATION: Duration = Duration::from_millis(150);
/// Number of pauses, one per second.
const PAUSES: u32 = 3;

/// Guards against responses that are reported as late or missing although they arrived in time: the player
/// got no processor time and had not read them yet.
#[test]
fn pauses_of_the_player_are_not_counted_against_nodes() {
    let directory = TempDir::new();
    let file = script_file(&directory, "held-up.toml", &format!("{SHORT}[load]\nrate = 200\n"));
    let mut command = command();
    command.args(["scenario", &file, "--player=sockets", "--json"]);
    let player = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let id = player.id().to_string();
    let signal = |name| assert!(Command::new("kill").args([name, id.as_str()]).status().unwrap().success());
    for _ in 0..PAUSES {
        thread::sleep(Duration::from_secs(1));
        signal("-STOP");
        thread::sleep(PAUSE_DURATION);
        signal("-CONT");
    }
    let output = player.wait_with_output().unwrap();
    if output.status.code() == Some(3) {
        eprintln!("not judged: void");
        return;
    }
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let verdict = &json["verdict"];
    assert_eq!(verdict["broken"], serde_json::json!([0, 0, 0, 0]), "{}", verdict["breaches"]);
    assert!(verdict["answers"][0].as_u64() > Some(300), "{verdict}");
}

/// Guards against two faults: processes outlive the run that started them, and the report of an interrupted
/// run looks like a complete one.
#[test]
fn an_interrupted_run_is_reported_as_partial_and_leaves_no_process() {
    let directory = TempDir::new();
    let file = script_file(
        &directory,
        "long.toml",
        "version = 1\nname = \"long\"\nlength = \"10min\"\nnodes = 2\n[load]\nrate = 50\n",
    );
    let mut command = command();
    command.args(["scenario", &file]).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut player = command.spawn().unwrap();
    let mut progress = BufReader::new(player.stderr.take().unwrap()).bytes().map_while(Result::ok);
    // A progress line begins with a carriage return.
    assert!(progress.any(|byte| byte == b'\r'), "no progress");
    let id = player.id().to_string();
    let children = std::fs::read_to_string(format!("/proc/{id}/task/{id}/children")).unwrap();
    assert_eq!(children.split_whitespace().count(), 2, "{children}");
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    progress.for_each(drop);
    let output = player.wait_with_output().unwrap();
    // On a busy machine the run is void and prints no report.
    let shown = utf8(&output.stdout);
    assert!(output.status.code() == Some(3) || shown.contains("PARTIAL: broken off"), "{shown}");
    for child in children.split_whitespace() {
        let has_exited = || {
            std::fs::read_to_string(format!("/proc/{child}/stat")).map_or(true, |stat| stat.contains(") Z "))
        };
        wait_for("each process of the run to exit", has_exited);
    }
}
