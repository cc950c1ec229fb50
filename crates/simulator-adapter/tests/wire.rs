//! Tests of the simulator's line protocol: parsing, formatting, and the adapter process.

use balancer_core::*;
use simulator_adapter::wire::{write_action, write_panic, InstanceId, Message, Parser};
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

/// Starts instance 3 with two classes and one tenant.
const START: &str = "power_on who=3 prng=5 az=x lanes.count=2 lanes.0.name=read lanes.0.effect=safe lanes.0.promise_us=150000 \
    lanes.0.hard_limit_us=400000 lanes.1.name=log lanes.1.effect=keyed lanes.1.dedup_scope=zone lanes.1.repeat_window_us=600000 \
    orgs.count=1 orgs.0.name=t1 orgs.0.quota_per_s=12.5 family_info.mode=aside family_info.origin_kind=1 shapes=std,origin \
    limits.most_tries=6 limits.second_copies=true limits.retry_after=true limits.max_retry_after_us=1000000 \
    membership_mode=subscribe safety.cold_share=0.31 novelty.of=1";

fn parse(lines: &[&str]) -> Vec<Message> {
    let mut parser = Parser::default();
    lines.iter().filter_map(|line| parser.parse_line(line).expect("the line is well-formed")).collect()
}

#[test]
fn settings_are_parsed_and_unknown_settings_are_ignored() {
    let Message::InstanceStarted { instance: InstanceId(3), seed: 5, settings } = parse(&[START]).remove(0)
    else {
        panic!("expected a start of an instance")
    };
    assert_eq!(settings.classes.len(), 2);
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Zone, window: Duration::from_millis(600) };
    assert_eq!(settings.classes[1].idempotency, keyed);
    assert_eq!(settings.tenants[0].quota_per_second, 12.5);
    assert_eq!(settings.mode, CacheMode::Aside { origin_kind: "origin".into() });
    assert_eq!(settings.max_retry_after, Duration::from_secs(1));
    assert!(settings.discovery_is_polled && settings.hedging_allowed);
    assert_eq!(
        settings.slow_start_overload_factor,
        Settings::default().slow_start_overload_factor,
        "a missing setting keeps its default"
    );
}

#[test]
fn all_fields_of_a_request_are_parsed() {
    let line = "submit who=3 request_id=c:x cls=log party=t1 object=17 valid_until_us=900 expected_us=12 options=7 odd=1";
    let Message::Event { instance: InstanceId(3), event: Event::Request(request) } =
        parse(&[START, line]).remove(1)
    else {
        panic!("expected a request of instance 3")
    };
    assert_eq!(request.class, Some(ClassId(1)));
    assert_eq!(request.tenant, Some(TenantId(0)));
    assert_eq!((request.key, request.deadline), (Some(17), Timestamp::from_micros(900)));
    assert_eq!(request.expected_work, Some(Duration::from_micros(12)));
    assert!(request.write && request.client_retry);
}

#[test]
fn all_fields_of_an_attempt_result_are_parsed_and_an_unknown_result_is_a_failure() {
    let line = "returned who=1 request_id=r result=Miss info=3 hop=2 server=s:1 spent_us=70 finished=1 server_stats=avg_ms:1.5,cpu:0.25,waiting:2,new:1";
    let unknown = "returned who=1 request_id=r result=Exploded hop=0 server=s:1";
    let messages = parse(&[line, unknown]);
    let Message::Event { event: Event::AttemptEnded(outcome), .. } = &messages[0] else {
        panic!("expected the end of an attempt")
    };
    assert_eq!(
        (outcome.attempt, outcome.status, outcome.cache_result),
        (2, AttemptStatus::Miss, Some(CacheResult::MissFetchPending))
    );
    assert!(outcome.request_finished);
    assert_eq!(
        outcome.load,
        LoadReport {
            service_time: Some(Duration::from_micros(1500)),
            cpu_utilization: Some(0.25),
            queue_length: Some(2.0)
        }
    );
    assert!(
        matches!(&messages[1], Message::Event { event: Event::AttemptEnded(outcome), .. } if outcome.status == AttemptStatus::Failed)
    );
}

#[test]
fn updates_use_the_latest_endpoint_list_of_a_number() {
    let entry = |id: &str| {
        format!("m server={id} region_part=x machine=std group=2 availability=U capacity_hint=1.5 born_us=0")
    };
    let (a, b) = (entry("a:1"), entry("b:1"));
    let update = "peers_known who=3 how=replace bank=0 revision=1";
    let messages = parse(&[
        "roster bank=0 hosts=1",
        &a,
        update,
        "roster bank=0 hosts=1",
        &b,
        update,
        "roster bank=0 hosts=0",
        update,
    ]);
    let ids: Vec<Vec<&str>> = messages
        .iter()
        .map(|message| match message {
            Message::Event { event: Event::EndpointsUpdated(EndpointUpdate::Snapshot(list)), .. } => {
                list.iter().map(|endpoint| endpoint.id.as_str()).collect()
            }
            other => panic!("expected an endpoint snapshot, got {other:?}"),
        })
        .collect();
    assert_eq!(ids, [vec!["a:1"], vec!["b:1"], vec![]]);
}

#[test]
fn unknown_messages_are_ignored() {
    assert!(parse(&[
        "inbox who=1 from=2 octets=aGk=",
        "weather who=1 sky=blue",
        "",
        "peers_known who=1 how=odd"
    ])
    .is_empty());
}

#[test]
fn errors_name_the_malformed_field_or_list() {
    for (lines, word) in [
        (vec!["tick"], "tick"),
        (vec!["tick t_us=soon"], "t_us"),
        (vec!["submit who=1 request_id=r"], "valid_until_us"),
        (vec!["submit who=1 valid_until_us=1"], "request_id"),
        (vec!["submit request_id=r valid_until_us=1"], "who"),
        (vec!["returned who=1 request_id=r hop=0 server=s"], "result"),
        (vec!["returned who=1 request_id=r result=Ok server=s"], "hop"),
        (vec!["returned who=1 request_id=r result=Ok hop=0"], "server"),
        (vec!["peers_known who=1 how=replace bank=4"], "bank"),
        (vec!["roster bank=0 hosts=2", "m server=a availability=U", "your_turn"], "missing"),
        (vec!["roster bank=0 hosts=1", "m server=a availability=U", "m server=b availability=U"], "outside"),
        (vec!["roster bank=0 hosts=1", "m server=a"], "availability"),
        (vec!["power_on who=1"], "prng"),
        (vec!["power_on who=1 prng=1 safety.cold_share=much"], "cold_share"),
    ] {
        let mut parser = Parser::default();
        let errors: Vec<String> = lines
            .iter()
            .filter_map(|line| parser.parse_line(line).err())
            .map(|error| error.to_string())
            .collect();
        assert_eq!(errors.len(), 1, "{lines:?}");
        assert!(errors[0].contains(word) && !errors[0].contains('\n'), "{errors:?}");
    }
}

#[test]
fn actions_are_formatted_as_lines() {
    let (id, server) = (RequestId::from("c:x"), ServerId::from("s:1"));
    let time = Duration::from_micros(250);
    for (action, line) in [
        (
            Action::StartAttempt {
                id: id.clone(),
                server: server.clone(),
                timeout: time,
                start_within: None,
            },
            "send who=3 request_id=c:x server=s:1 allow_for_us=250\n",
        ),
        (
            Action::StartAttempt {
                id: id.clone(),
                server: server.clone(),
                timeout: Duration::ZERO,
                start_within: None,
            },
            "send who=3 request_id=c:x server=s:1 allow_for_us=1\n",
        ),
        (Action::CancelAttempt { id: id.clone(), attempt: 1 }, "abort_attempt who=3 request_id=c:x hop=1\n"),
        (Action::Reject { id: id.clone(), retry_after: time }, "busy who=3 request_id=c:x hold_off_us=250\n"),
        (Action::Fail { id }, "report_failure who=3 request_id=c:x\n"),
        (Action::SetTimer { after: time }, "wake_at who=3 nonce=w sleep_for_us=250\n"),
        (Action::CheckHealth { server }, "health_check who=3 server=s:1\n"),
        (Action::SubscribeToEndpoints, "follow who=3 on=1\n"),
        (Action::Log("two\nlines".into()), "write_log who=3 body_text=two lines\n"),
    ] {
        let mut reply = String::new();
        write_action(&mut reply, InstanceId(3), &action);
        assert_eq!(reply, line);
    }
}

/// Runs the adapter process on this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write fails if the adapter exits early, which is not a failure of the test.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn adapter_replies_to_each_batch_and_exits_at_end_of_input() {
    let input = format!(
        "tick t_us=1\nyour_turn\ntick t_us=10\nretire who=3\n{START}\nroster bank=0 hosts=1\nm server=s:1 machine=std availability=U\n\
         peers_known who=3 how=restored bank=0 revision=1\n\
         submit who=3 request_id=c:x cls=read object=4 valid_until_us=400010\nsubmit who=9 request_id=c:y valid_until_us=9\nyour_turn\n"
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the reply is UTF-8");
    assert!(text.starts_with("ack\n") && text.ends_with("ack\n"), "{text}");
    assert!(text.contains("send who=3 request_id=c:x server=s:1 "), "{text}");
    assert!(!text.contains("who=9"), "instance 9 was never started: {text}");
}

#[test]
fn adapter_exits_on_a_malformed_line_without_replying_to_its_batch() {
    let output = run_adapter("tick t_us=1\nyour_turn\ntick t_us=2\nsubmit who=1 request_id=r\nyour_turn\n");
    assert!(!output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "ack\n");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains("valid_until_us") && errors.contains("submit who=1"), "{errors}");
}

/// An out-of-range number that reached the balancer could make the capacity of a server negative or infinite. Rejecting it
/// would end the adapter with all instances.
#[test]
fn out_of_range_numbers_are_replaced_by_defaults() {
    for bad in ["NaN", "inf", "-inf", "-0.5"] {
        let start = format!(
            "power_on who=1 prng=1 lanes.count=1 lanes.0.name=a lanes.0.worth={bad} lanes.0.late_value={bad} \
             over_share_worth={bad} safety.cold_share={bad} safety.fall_multiple={bad}"
        );
        let entry = format!("m server=s availability=U capacity_hint={bad}");
        let lines = [start.as_str(), "roster bank=0 hosts=1", &entry, "peers_known who=1 how=replace bank=0"];
        let mut messages = parse(&lines);
        let Message::Event { event: Event::EndpointsUpdated(EndpointUpdate::Snapshot(list)), .. } =
            messages.remove(1)
        else {
            panic!("expected an endpoint snapshot")
        };
        assert_eq!(list[0].weight, 1.0);
        let Message::InstanceStarted { settings, .. } = messages.remove(0) else {
            panic!("expected a start of an instance")
        };
        let defaults = Settings::default();
        assert_eq!(
            (settings.slow_start_min_fraction, settings.slow_start_overload_factor),
            (defaults.slow_start_min_fraction, defaults.slow_start_overload_factor)
        );
        assert_eq!(settings.over_quota_weight_fraction, defaults.over_quota_weight_fraction);
        assert_eq!(
            (settings.classes[0].priority_weight, settings.classes[0].late_weight_fraction),
            (1.0, 0.0)
        );
    }
    let Message::InstanceStarted { settings, .. } =
        parse(&["power_on who=1 prng=1 safety.cold_share=2"]).remove(0)
    else {
        panic!("expected a start of an instance")
    };
    assert_eq!(
        settings.slow_start_min_fraction,
        Settings::default().slow_start_min_fraction,
        "a share is at most 1"
    );
}

#[test]
fn events_for_an_instance_that_is_not_running_are_ignored() {
    let output = run_adapter(
        "tick t_us=1\ntimer who=9 nonce=w\nabandoned who=9 request_id=c:x\nretire who=9\nyour_turn\n",
    );
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "ack\n");
}

#[test]
fn panic_message_is_reported_on_one_line() {
    let mut reply = String::new();
    write_panic(&mut reply, InstanceId(3), "index\nout of range");
    assert_eq!(reply, "bail_out who=3 body_text=index out of range\n");
}
