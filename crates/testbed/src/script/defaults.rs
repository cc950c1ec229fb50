//! The default fleet: the values of settings that a script leaves out.

use super::{
    Class, Clients, Discovery, Expectations, Load, LoadReports, Network, Origin, Rules, Script, ServerKind,
};
use balancer_core::Idempotency;
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl Default for ServerKind {
    fn default() -> Self {
        Self {
            name: "box".into(),
            count: 1,
            cores: 3,
            speed: 1.0,
            slots_per_core: 4,
            queue_per_core: 16,
            cache_entries: 2_000,
            max_connections: 2_000,
            slow_start_min_fraction: 0.4,
            slow_start_work: Duration::from_secs(12),
            slow_start_window: ms(7_800),
            error_rate: 0.001,
            idle_timeout: None,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rate: 410.0,
            swing: 0.1,
            swing_period: Duration::from_secs(20),
            keys: 40_000,
            zipf_exponent: 0.9,
            first_zone_share: 0.55,
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            max_retries: 3,
            request_timeout_fraction: 0.55,
            backoff: ms(30),
            retry_after_fraction: 0.2,
            max_retry_after: Duration::from_secs(2),
            disconnect_fraction: 0.01,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_zone_latency: Duration::from_micros(150),
            cross_zone_latency: ms(6),
            client_latency: Duration::from_micros(800),
            jitter: 0.15,
            handshake_round_trips: 2,
            handshake_work: ms(2),
            idle_timeout: Duration::from_secs(60),
            connect_timeout: ms(75),
        }
    }
}

impl Default for Origin {
    fn default() -> Self {
        Self {
            slots: 20,
            mean_fetch_time: ms(120),
            fetch_variation: 0.5,
            queue_capacity: 200,
            initially_cached_fraction: 0.6,
        }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            detection_delay: ms(1_500),
            lines_per_second: 210.0,
            call_lines: 10.0,
            call_timeout: Duration::from_secs(3),
        }
    }
}

impl Default for LoadReports {
    fn default() -> Self {
        Self { interval: ms(120), delay: ms(60), include_cache_result: false }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace: ms(500),
            slow_start_overload_factor: 3.0,
            slow_start_overload_window: ms(1_500),
            max_attempts: 3,
        }
    }
}

impl Default for Script {
    fn default() -> Self {
        Self {
            name: "unnamed".into(),
            about: String::new(),
            seed: 1,
            length: Duration::from_secs(50),
            zones: vec!["duke-street".into(), "spanish-town".into()],
            nodes: 12,
            server_kinds: default_server_kinds(),
            classes: default_classes(),
            load: Load::default(),
            clients: Clients::default(),
            network: Network::default(),
            origin: Origin::default(),
            discovery: Discovery::default(),
            front_detection_delay: ms(1_200),
            load_reports: LoadReports::default(),
            rules: Rules::default(),
            incidents: Vec::new(),
            expectations: Expectations::default(),
        }
    }
}

fn default_server_kinds() -> Vec<ServerKind> {
    let kind =
        |name: &str, count, speed| ServerKind { name: name.into(), count, speed, ..ServerKind::default() };
    vec![kind("fast-box", 14, 1.5), kind("std-box", 6, 0.95)]
}

fn default_classes() -> Vec<Class> {
    let class = |name: &str, share, work, objective, deadline, priority_weight| Class {
        name: name.into(),
        share,
        mean_work: ms(work),
        work_variation: 0.6,
        latency_objective: ms(objective),
        deadline: ms(deadline),
        priority_weight,
        late_weight_fraction: 0.4,
        idempotency: Idempotency::Idempotent,
        write: false,
    };
    vec![
        class("entry-view", 0.35, 40, 300, 600, 5.0),
        class("name-check", 0.34, 42, 150, 500, 2.0),
        class("cert-build", 0.31, 190, 1_200, 4_000, 5.0),
    ]
}
