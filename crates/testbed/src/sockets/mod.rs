//! Runs a scenario on sockets: nodes as real processes, against stand-ins on loopback, in real time.
//!
//! One thread runs all stand-ins: clients and the front, cache servers, origin and discovery. Emulated work
//! waits instead of using the processor. The stand-ins also emulate the network faults that loopback lacks:
//! they wait for the latency of each message, and an unreachable server still accepts connections but does
//! not answer.
//!
//! A run on a machine that is too busy is void, because its figures would describe the machine and not the
//! nodes. A long timer lag shows this.

mod cache_server;
mod clients;
mod context;
mod discovery;
mod error;
mod faults;
mod faulty_stream;
mod node;
mod node_config;
mod origin;
mod timed_stream;
mod timer_lag;

pub use error::SocketRunError;
pub(crate) use node_config::class_table;
pub use timer_lag::TimerLag;

use crate::judge::Judge;
use crate::run_result::{hit_rate, RunResult, Sample};
use crate::script::Script;
use context::Context;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Maximum number of nodes in a run on sockets. Each node is a process.
pub const MAX_NODES: u32 = 2_000;
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of a run on sockets.
#[derive(Debug)]
pub struct SocketRun {
    /// The figures of the run.
    pub result: RunResult,
    /// How late timers expired.
    pub timer_lag: TimerLag,
    /// Whether the run was aborted. The figures then cover only the time before that.
    pub partial: bool,
    /// The error that aborted the run; `None` if the run completed or was interrupted.
    pub error: Option<SocketRunError>,
}

impl SocketRun {
    /// Returns whether the machine was too busy for meaningful figures.
    pub fn is_void(&self) -> bool {
        self.timer_lag.is_too_long()
    }
}

/// Runs a script until it is over or `stop` completes. Each node is a process of the executable `program`.
/// `on_sample` is called each second with the time since the start.
///
/// # Errors
/// If the script has too many nodes, or a node or stand-in does not start.
pub fn run(
    script: &Script,
    program: &Path,
    on_sample: impl FnMut(Duration, &Sample) + 'static,
    stop: impl Future<Output = ()>,
) -> Result<SocketRun, SocketRunError> {
    if script.nodes > MAX_NODES {
        return Err(SocketRunError::TooManyNodes { found: script.nodes });
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SocketRunError::system("starting the runtime"))?;
    let local = LocalSet::new();
    let context = Rc::new(Context::new(script.clone(), program.to_owned())?);
    let ended = local.block_on(&runtime, run_until_end(&context, on_sample, stop));
    // Ends the tasks that still run. The node processes end when the context is dropped.
    drop(local);
    let (timer_lag, partial) = ended?;
    let result = result(&context);
    context.nodes.borrow_mut().clear();
    Ok(SocketRun { result, timer_lag, partial, error: context.error.take() })
}

/// Starts everything and waits for the end. Returns whether the run was aborted, and the timer lag.
async fn run_until_end(
    context: &Rc<Context>,
    on_sample: impl FnMut(Duration, &Sample) + 'static,
    stop: impl Future<Output = ()>,
) -> Result<(TimerLag, bool), SocketRunError> {
    cache_server::start_all(context).await?;
    discovery::start(context).await?;
    node::start_all(context).await?;
    context.start_clock();
    spawn_local(origin::drive(context.clone()));
    spawn_local(faults::apply_all(context.clone()));
    spawn_local(sample_regularly(context.clone(), on_sample));
    let timer_lag = timer_lag::Recorder::start();
    let mut partial = true;
    tokio::select! {
        () = clients::run_all(context.clone()) => partial = false,
        () = stop => {}
        () = context.aborted.notified() => {}
    }
    Ok((timer_lag.finish(), partial))
}

async fn sample_regularly(context: Rc<Context>, mut on_sample: impl FnMut(Duration, &Sample)) {
    loop {
        sleep(SAMPLE_INTERVAL).await;
        let sample = context.sample();
        on_sample(context.elapsed(), &sample);
    }
}

fn result(context: &Context) -> RunResult {
    let statistics = context.state.borrow().statistics.clone();
    RunResult {
        verdict: context.judge.replace(Judge::new(&context.script)).verdict(),
        hit_rate: hit_rate(statistics.hits, statistics.misses),
        fetches: (statistics.fetches_accepted, statistics.fetches_rejected),
        origin_queue: statistics.longest_origin_queue,
        log_lines: statistics.log_lines,
        samples: statistics.samples,
        counts: Vec::new(),
        placement_lookups: 0,
    }
}
