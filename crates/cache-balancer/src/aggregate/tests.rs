use super::logs::{TallyLogs, MAX_LINE_BYTES};
use super::rows::{rows, Row};
use proptest::prelude::*;
use std::path::Path;

fn read_logs(logs: &[&str]) -> TallyLogs {
    let mut lines = TallyLogs::default();
    for (i, log) in logs.iter().enumerate() {
        lines.read(Path::new(&format!("{i}.log")), log.as_bytes()).expect("text");
    }
    lines
}

/// The sending node is notified late, so classifying by its own notifications alone would miss these
/// attempts.
#[test]
fn attempts_at_a_server_that_another_node_knew_to_be_removed_count_as_removed() {
    let one = r#"tally {"second":10,"node":"a","pool":"p","served":2,"told":{"s":"gone"},"servers":{"t":{"ok":2}}}"#;
    let other = "starting\n\
        tally {\"second\":9,\"node\":\"b\",\"pool\":\"p\",\"servers\":{\"s\":{\"ok\":1}}}\n\
        2026 b cache-balancer: tally {\"second\":11,\"node\":\"b\",\"pool\":\"p\",\"repeats\":3,\"servers\":{\"s\":{\"connect\":3}}}\n";
    let found = read_logs(&[one, other]);
    assert_eq!(found.skipped, 0);
    let by_second = rows(&found, 1, 8);
    assert_eq!(by_second[&9], Row { nodes: 1, healthy: 1, ..Row::default() });
    assert_eq!(by_second[&10], Row { nodes: 1, served: 2, healthy: 2, ..Row::default() });
    assert_eq!(by_second[&11], Row { nodes: 1, retries: 3, connect_errors: 3, removed: 3, ..Row::default() });
    let by_span = rows(&found, 10, 8);
    assert_eq!(by_span[&10].nodes, 2);
    assert_eq!(by_span.keys().copied().collect::<Vec<_>>(), [0, 10]);
}

/// Nodes are notified at different times: one may still report a server as ready that others know to be
/// draining.
#[test]
fn late_notifications_revive_no_server_and_started_servers_warm_up() {
    let log = r#"
        tally {"second":20,"node":"a","pool":"p","told":{"s":"draining","new":{"ready":19}},"servers":{"s":{"ok":1},"new":{"ok":2}}}
        tally {"second":21,"node":"b","pool":"p","told":{"s":{"ready":0}},"servers":{"s":{"ok":1},"new":{"ok":4}}}
        tally {"second":40,"node":"b","pool":"p","servers":{"new":{"ok":5}}}
    "#;
    let by_second = rows(&read_logs(&[log]), 1, 8);
    assert_eq!((by_second[&20].draining, by_second[&20].warming_up), (1, 2));
    assert_eq!((by_second[&21].draining, by_second[&21].warming_up), (1, 4));
    assert_eq!((by_second[&40].warming_up, by_second[&40].healthy), (0, 5));
}

/// A server that restarted with the same id used to count as removed for the rest of the log.
#[test]
fn a_server_restarted_with_the_same_id_is_ready_despite_late_notifications() {
    let log = r#"
        tally {"second":20,"node":"a","pool":"p","told":{"s":"gone"},"servers":{"s":{"ok":1}}}
        tally {"second":22,"node":"a","pool":"p","told":{"s":{"ready":19}},"servers":{"s":{"ok":2}}}
        tally {"second":23,"node":"b","pool":"p","told":{"s":{"ready":0}},"servers":{"s":{"ok":3}}}
        tally {"second":30,"node":"b","pool":"p","servers":{"s":{"ok":4}}}
        tally {"second":31,"node":"b","pool":"p","told":{"s":"gone"},"servers":{"s":{"connect":1}}}
        tally {"second":32,"node":"a","pool":"p","told":{"s":"draining"},"servers":{"s":{"connect":2}}}
    "#;
    let by_second = rows(&read_logs(&[log]), 1, 8);
    assert_eq!([20, 31, 32].map(|second| by_second[&second].removed), [1, 1, 2]);
    assert_eq!([22, 23, 30].map(|second| by_second[&second].warming_up), [2, 3, 0]);
    assert_eq!(by_second[&30].healthy, 4);
}

/// No single node's log has enough attempts to classify the server.
#[test]
fn a_server_that_fails_once_for_each_of_many_nodes_is_an_outlier() {
    let log: String = (0..6)
        .map(|node| {
            let end = if node % 2 == 0 { "ok" } else { "error" };
            format!("tally {{\"second\":5,\"node\":\"{node}\",\"pool\":\"p\",\"servers\":{{\"s\":{{\"{end}\":1}}}}}}\n")
        })
        .collect();
    let row = rows(&read_logs(&[&log]), 1, 8)[&5];
    assert_eq!(row, Row { nodes: 6, errors: 3, outlier: 6, ..Row::default() });
}

#[test]
fn bad_lines_are_skipped_and_the_others_count() {
    let good = r#"tally {"second":5,"node":"a","pool":"p","served":1}"#;
    let long = format!("tally {{\"node\":\"{}\"}}", "x".repeat(MAX_LINE_BYTES as usize));
    let far = good.replace(":5,", ":99999999999,");
    let cut = &good[..good.len() - 1];
    let log = [good, cut, "tally {}", &long, "tally of nothing", &far, good].join("\n");
    let found = read_logs(&[&log]);
    assert_eq!(found.skipped, 4);
    assert_eq!(rows(&found, 1, 8)[&5].served, 2);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_counted_or_skipped(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut lines = TallyLogs::default();
        let log = [b"tally {\"second\":5,", &bytes[..], b"}\ntally {\"second\":5,\"node\":\"a\",\"pool\":\"p\",\"served\":1}\n"].concat();
        prop_assert!(lines.read(Path::new("x"), &log[..]).is_ok());
        prop_assert!(rows(&lines, 1, 8)[&5].served >= 1);
    }
}
