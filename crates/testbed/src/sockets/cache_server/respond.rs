//! Responds to attempts over HTTP/1.1, with the emulated latency and faults of the network.

use super::{stop, JobResult};
use crate::attempt_id::AttemptId;
use crate::fault_schedule::ServerCondition;
use crate::judge::{Observation, RequestNumber};
use crate::models::cache_server::Job;
use crate::models::OfferResult;
use crate::random::RandomSource;
use crate::sockets::context::{Context, SentRequest};
use crate::sockets::faulty_stream::ConnectionFaults;
use crate::workload::Operation;
use crate::{network_model, workload};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, Instant};

type HttpResponse = Response<Full<Bytes>>;

/// Responds to an attempt whose bytes arrived at `sent_at`. Latency is emulated afterwards, so this is also
/// the time at which the node sent it. `process` is the cache server's process.
pub(super) async fn respond(
    context: &Rc<Context>,
    process: usize,
    request: Request<Incoming>,
    sent_at: Instant,
    new_connection: bool,
    faults: &ConnectionFaults,
) -> HttpResponse {
    let Some(mut attempt) = Attempt::begin(context, process, &request) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    context.record(Observation::AttemptSent {
        request: attempt.id.request,
        server: attempt.judge_number,
        at: context.timestamp(sent_at),
    });
    if attempt.arrive(context, new_connection).await.is_err() {
        faults.reset_next_write();
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (offered, job_ended) = attempt.offer(context, new_connection);
    let response = match offered {
        OfferResult::Accepted => {
            // A job is lost if its process ends, which also closes this connection.
            let Ok(result) = job_ended.await else { return std::future::pending().await };
            attempt.wait_until_reachable().await;
            attempt.response(context, result)
        }
        OfferResult::Declined => attempt.declined(context),
        OfferResult::Overloaded => {
            context.record(Observation::ServerOverloaded { server: attempt.judge_number, at: context.now() });
            stop(context, process);
            return std::future::pending().await;
        }
    };
    attempt.send_back(context, response, faults).await
}

/// The emulated handshake takes longer than the node's connect timeout.
struct ConnectTimedOut;

/// An attempt that has reached a cache server.
struct Attempt {
    id: AttemptId,
    process: usize,
    /// Index of the cache server in the fleet.
    index: usize,
    /// Number that the judge assigned to the cache server.
    judge_number: usize,
    node: usize,
    operation: Operation,
    /// Source of the request's random values.
    random: RandomSource,
    condition: watch::Receiver<ServerCondition>,
}

impl Attempt {
    /// Registers an attempt at the request named by the `req-id` header. Returns `None` if no client has sent
    /// that request.
    fn begin(context: &Context, process: usize, request: &Request<Incoming>) -> Option<Self> {
        let id = request.headers().get("req-id")?.to_str().ok()?;
        let number = usize::from_str_radix(id, 16).ok()?;
        let mut state = context.state.borrow_mut();
        let request = state.requests.get_mut(number)?;
        let attempt = u64::from(request.attempts);
        request.attempts += 1;
        let SentRequest { operation, ordinal, node, .. } = *request;
        let operation = state.operations[operation].clone();
        let server = &state.servers[state.processes[process].server];
        Some(Self {
            id: AttemptId::new(number as RequestNumber, attempt),
            process,
            index: server.index,
            judge_number: server.judge_number,
            node,
            random: operation.request_random(ordinal),
            operation,
            condition: state.conditions[server.index].subscribe(),
        })
    }

    /// Returns the source of this attempt's random values for the given purpose.
    fn random(&self, purpose: u64) -> RandomSource {
        self.random.derive(purpose).derive(self.id.attempt)
    }

    fn latency(&self, context: &Context, random: RandomSource) -> Duration {
        context.latency(self.node, self.index, random)
    }

    /// Waits for the network time of the attempt, and then until the server is reachable.
    async fn arrive(&mut self, context: &Context, new_connection: bool) -> Result<(), ConnectTimedOut> {
        let network = &context.script.network;
        let condition = *self.condition.borrow();
        let random = self.random(9);
        let mut time = self.latency(context, random) + network_model::fault_delay(&condition, random);
        if new_connection {
            let round_trip = self.latency(context, self.random(8)) * 2;
            let handshake = network_model::handshake_time(network, &condition, round_trip, self.random(8));
            if handshake > network.connect_timeout {
                // A real node would have given up connecting by then. Loopback connects at once, so a reset
                // emulates the timeout.
                sleep(network.connect_timeout).await;
                return Err(ConnectTimedOut);
            }
            time += handshake;
        }
        sleep(time).await;
        self.wait_until_reachable().await;
        Ok(())
    }

    async fn wait_until_reachable(&mut self) {
        // The sender lives as long as the context.
        let _ = self.condition.wait_for(|condition| condition.reachable).await;
    }

    /// Offers the attempt's job to the server. The receiver gets the result of an accepted job.
    fn offer(&self, context: &Context, new_connection: bool) -> (OfferResult, oneshot::Receiver<JobResult>) {
        let id = self.id.job();
        let job: Job = workload::job(&context.script, &self.operation, self.random(10), id, new_connection);
        let (sender, receiver) = oneshot::channel();
        let mut state = context.state.borrow_mut();
        state.job_waiters.insert(id, sender);
        let process = &mut state.processes[self.process];
        let offered = process.model.offer(context.now(), job);
        process.changed.notify_one();
        if offered == OfferResult::Declined {
            state.job_waiters.remove(&id);
        }
        (offered, receiver)
    }

    fn declined(&self, context: &Context) -> HttpResponse {
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
        self.add_load_report(context, &mut response);
        response
    }

    fn response(&self, context: &Context, result: JobResult) -> HttpResponse {
        let mut response = if result.failed {
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        } else {
            Response::new(Full::new(Bytes::from(response_body(self.id.request))))
        };
        if context.script.load_reports.include_cache_result {
            let value = HeaderValue::from_static(if result.hit { "hit" } else { "miss" });
            response.headers_mut().insert("srv-cache", value);
        }
        self.add_load_report(context, &mut response);
        response
    }

    fn add_load_report(&self, context: &Context, response: &mut HttpResponse) {
        let load = context.state.borrow_mut().processes[self.process].model.load_report(context.now());
        let millis = load.service_time.as_secs_f64() * 1e3;
        if let Ok(value) = format!("latency_ms={millis:.3},queue={}", load.queued).parse() {
            response.headers_mut().insert("srv-load", value);
        }
    }

    /// Waits for the network time of the response. A fault may reset the connection in the middle of the
    /// response.
    async fn send_back(
        &self,
        context: &Context,
        response: HttpResponse,
        faults: &ConnectionFaults,
    ) -> HttpResponse {
        let condition = *self.condition.borrow();
        let random = self.random(11);
        sleep(self.latency(context, random) + network_model::fault_delay(&condition, random)).await;
        if network_model::answer_is_reset(&condition, random) {
            faults.reset_next_write();
        }
        response
    }
}

fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the response body for a request. Each request has a different one.
pub(in crate::sockets) fn response_body(request: RequestNumber) -> String {
    format!("answer to {request:x}")
}
