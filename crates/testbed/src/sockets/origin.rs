//! Drives the model of the origin in real time.

use super::context::{sleep_until_or_forever, Context};
use std::rc::Rc;

/// Advances the origin's model and passes finished fetches on to the cache servers that started them.
pub(super) async fn drive(context: Rc<Context>) {
    loop {
        let next = context.state.borrow().origin.next_wakeup().map(|at| context.instant(at));
        tokio::select! {
            () = sleep_until_or_forever(next) => {}
            () = context.origin_changed.notified() => {}
        }
        let now = context.now();
        let mut state = context.state.borrow_mut();
        let mut ended = Vec::new();
        state.origin.advance(now, &mut ended);
        for job in ended {
            let Some(process) = state.fetch_processes.remove(&job) else { continue };
            let process = &mut state.processes[process];
            if process.alive {
                process.model.fetch_ended(now, job, true);
                process.changed.notify_one();
            }
        }
    }
}
