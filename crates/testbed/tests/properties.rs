//! Properties of every script: a text is parsed or its errors name lines, and a run keeps the rules and is
//! reproducible.

#[path = "support/property_config.rs"]
mod property_config;

use balancer_core::{DeduplicationScope, Idempotency};
use property_config::cases;
use proptest::prelude::*;
use std::time::Duration;
use testbed::report::Report;
use testbed::script::{Fault, Incident};
use testbed::virtual_time::run;
use testbed::{scenarios, Script};

/// Generates shipped scripts in which a section of the text is replaced by something else.
fn corrupted_text() -> impl Strategy<Value = String> {
    let replacement = prop_oneof![
        Just(String::new()),
        Just("\"".into()),
        Just("]]".into()),
        Just("-1".into()),
        Just("1e999".into()),
        Just("99999999999999999999".into()),
        Just("\u{0}\u{fe0f}é".into()),
        Just("\n[[incident]]\n".into()),
        ".{0,20}",
    ];
    let place = any::<prop::sample::Index>();
    (prop::sample::select(scenarios::ALL.to_vec()), place, 0usize..40, replacement).prop_map(
        |(scenario, place, length, replacement)| {
            let text = scenario.text;
            let boundary = |at: usize| (at..=text.len()).find(|&at| text.is_char_boundary(at));
            let from = boundary(place.index(text.len())).unwrap_or(text.len());
            let to = boundary((from + length).min(text.len())).unwrap_or(text.len());
            format!("{}{replacement}{}", &text[..from], &text[to..])
        },
    )
}

fn fault() -> impl Strategy<Value = Fault> {
    let share = || 0.0..=1.0;
    let batch = || 0.05..=1.0;
    let drain = || (0u64..3_000).prop_map(Duration::from_millis);
    prop_oneof![
        (0.0..=0.7, drain()).prop_map(|(share, drain)| Fault::Shrink { share, drain }),
        (share(), batch(), drain(), any::<bool>()).prop_map(|(share, batch, drain, same_address)| {
            Fault::Deploy { share, batch, drain, same_address }
        }),
        (share(), batch(), drain(), any::<bool>()).prop_map(|(share, batch, downtime, killed)| {
            Fault::RestartNodes { share, batch, downtime, killed }
        }),
        (share(), 0.1..1.0).prop_map(|(share, batch)| Fault::Upgrade { share, batch }),
        (share(), 1..20_u32).prop_map(|(share, times)| Fault::Reload { share, times }),
        share().prop_map(|share| Fault::Crash { share }),
        share().prop_map(|share| Fault::Unreachable { share }),
        share().prop_map(|share| Fault::Pause { share }),
        (share(), share()).prop_map(|(share, rate)| Fault::Errors { share, rate }),
        (share(), 0u64..60).prop_map(|(share, ms)| Fault::Delay { share, extra: Duration::from_millis(ms) }),
        (share(), share()).prop_map(|(share, rate)| Fault::Loss { share, rate }),
        (share(), share()).prop_map(|(share, rate)| Fault::Resets { share, rate }),
        share().prop_map(|share| Fault::HalfOpen { share }),
        (1u32..5, share()).prop_map(|(keys, share)| Fault::HotKeys { keys, share }),
        (0.1..4.0).prop_map(|factor| Fault::Surge { factor }),
        (0.1..20.0).prop_map(|factor| Fault::SlowOrigin { factor }),
        Just(Fault::DiscoveryOutage),
        share().prop_map(|rate| Fault::DiscoveryErrors { rate }),
    ]
}

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop::sample::select(vec![
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ]);
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NotIdempotent),
        (scope, 100u64..5_000)
            .prop_map(|(scope, ms)| Idempotency::WithKey { scope, window: Duration::from_millis(ms) }),
    ]
}

/// Generates small fleets with any faults at any time.
fn script() -> impl Strategy<Value = Script> {
    let time = || (0u64..6_000).prop_map(Duration::from_millis);
    let zone = prop::option::of(0..2_usize);
    let incident = (time(), time(), zone, fault()).prop_map(|(at, duration, zone, fault)| Incident {
        at,
        duration,
        zone,
        fault,
    });
    let incidents = prop::collection::vec(incident, 0..8);
    let sizes = (any::<u64>(), 1u32..5, 1u32..10, 10.0..150.0);
    let clients = (0u32..4, 0u64..100, 0.0..0.3);
    let servers = (prop::option::of(1u64..500), 2u32..40);
    (sizes, clients, servers, incidents, prop::collection::vec(idempotency(), 3)).prop_map(
        |(sizes, clients, servers, mut incidents, idempotencies)| {
            incidents.sort_by_key(|incident| incident.at);
            let mut script = Script { length: Duration::from_secs(6), incidents, ..Script::default() };
            script.server_kinds.truncate(1);
            (script.seed, script.nodes, script.server_kinds[0].count, script.load.rate) = sizes;
            let (max_retries, backoff, disconnect_fraction) = clients;
            (script.clients.max_retries, script.clients.disconnect_fraction) =
                (max_retries, disconnect_fraction);
            script.clients.backoff = Duration::from_millis(backoff);
            (script.server_kinds[0].idle_timeout, script.server_kinds[0].max_connections) =
                (servers.0.map(Duration::from_millis), servers.1);
            script
                .classes
                .iter_mut()
                .zip(idempotencies)
                .for_each(|(class, idempotency)| class.idempotency = idempotency);
            script
        },
    )
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn a_text_is_parsed_or_every_error_names_one_of_its_lines(text in corrupted_text()) {
        if let Err(errors) = Script::parse("corrupted.toml", &text) {
            prop_assert!(!errors.is_empty());
            for error in errors {
                prop_assert!((1..=text.lines().count() + 1).contains(&error.line), "{error}");
                prop_assert!(!error.field.is_empty() && !error.problem.is_empty(), "{error}");
            }
        }
    }

}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn under_any_faults_the_rules_hold_and_a_run_is_reproducible(script in script()) {
        let result = run(&script);
        prop_assert_eq!(result.verdict.violation_counts, [0; 4], "{:?}", result.verdict.violations);
        let json = |result| Report::new(&script, result).json();
        prop_assert_eq!(json(result), json(run(&script)));
    }
}
