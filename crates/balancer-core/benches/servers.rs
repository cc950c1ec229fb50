//! Measures the cost of one request, one snapshot and one delta by the number of cache servers.
//!
//! Run with `cargo bench -p balancer-core --bench servers`. The largest size is for checking a prediction:
//! fit the other sizes, then compare.

use balancer_core::{
    Action, AttemptOutcome, AttemptStatus, Balancer, CacheResult, ClassId, Endpoint, EndpointState,
    EndpointUpdate, Event, Idempotency, LoadReport, Request, RequestClass, Settings, Timestamp,
};
use criterion::{BatchSize, BenchmarkId, Criterion};
use std::time::Duration;

/// Numbers of cache servers: about the current number, doublings up to the planned size, and one size beyond
/// it.
const SERVERS: [u32; 6] = [79, 138, 275, 550, 1_100, 2_200];
const NODES: u32 = 5_900;
const START: Timestamp = Timestamp::from_micros(3_000_000_000);
/// Interval between requests at one node at the planned peak: 3.4 million requests a second over 5,900 nodes.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1_736);
const WARM_UP_REQUESTS: u64 = 2_000;
const KEYS: u64 = 100_003;

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        zone: Some(["a", "b"][number as usize % 2].into()),
        ..Endpoint::new(&format!("s-{number:05}"))
    }
}

fn endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

/// A balancer, its clock and its number of requests so far.
struct Fixture {
    balancer: Balancer,
    actions: Vec<Action>,
    now: Timestamp,
    requests: u64,
}

impl Fixture {
    fn new(servers: u32) -> Self {
        let class = RequestClass {
            name: "read".into(),
            idempotency: Idempotency::Idempotent,
            ..RequestClass::default()
        };
        let settings =
            Settings { zone: Some("a".into()), nodes: NODES, classes: vec![class], ..Settings::default() };
        let mut fixture =
            Self { balancer: Balancer::new(settings, 1), actions: Vec::new(), now: START, requests: 0 };
        fixture.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints(servers).into())));
        for _ in 0..WARM_UP_REQUESTS {
            fixture.serve_request();
        }
        fixture
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Handles one request from its arrival to its answer.
    fn serve_request(&mut self) {
        self.requests += 1;
        self.now = self.now + REQUEST_INTERVAL;
        let id = format!("r-{}", self.requests);
        let mut request = Request::new(&id, self.now + Duration::from_millis(500));
        request.class = Some(ClassId(0));
        request.key = Some(self.requests.wrapping_mul(7_919) % KEYS);
        self.handle(Event::Request(request));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::StartAttempt { id, server, .. } => Some((id.clone(), server.clone())),
            _ => None,
        });
        let Some((id, server)) = sent else { return };
        self.handle(Event::AttemptEnded(AttemptOutcome {
            id,
            attempt: 0,
            server,
            status: AttemptStatus::Ok,
            cache_result: Some(CacheResult::Hit),
            elapsed: Duration::from_millis(5),
            request_finished: true,
            load: LoadReport::default(),
        }));
    }
}

fn bench_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one request");
    for servers in SERVERS {
        let mut fixture = Fixture::new(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| fixture.serve_request());
        });
    }
}

fn bench_snapshots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one whole list");
    for servers in SERVERS {
        let mut fixture = Fixture::new(servers);
        let list = endpoints(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter_batched(
                || Event::EndpointsUpdated(EndpointUpdate::Snapshot(list.clone().into())),
                |event| fixture.handle(event),
                BatchSize::SmallInput,
            );
        });
    }
}

fn bench_deltas(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one change");
    for servers in SERVERS {
        let mut fixture = Fixture::new(servers);
        let mut ready = true;
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                ready = !ready;
                let state = if ready { EndpointState::Ready } else { EndpointState::Draining };
                let changed = Endpoint { state, ..endpoint(0) };
                fixture.handle(Event::EndpointsUpdated(EndpointUpdate::Delta([changed].into())));
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    bench_requests(&mut criterion);
    bench_snapshots(&mut criterion);
    bench_deltas(&mut criterion);
    criterion.final_summary();
}
