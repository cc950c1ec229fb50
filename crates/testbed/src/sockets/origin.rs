//! The origin on sockets.

use super::context::{sleep_until_some, Context};
use std::rc::Rc;

/// Drives the origin's state machine: tells cache servers of the fetches that have ended.
pub(super) async fn drive(context: Rc<Context>) {
    loop {
        let next = context.state.borrow().origin.next_wakeup().map(|at| context.instant(at));
        tokio::select! {
            () = sleep_until_some(next) => {}
            () = context.origin_changed.notified() => {}
        }
        let now = context.now();
        let mut state = context.state.borrow_mut();
        let mut ended = Vec::new();
        state.origin.advance(now, &mut ended);
        for job in ended {
            let Some(process) = state.fetching.remove(&job) else { continue };
            let process = &mut state.processes[process];
            if process.alive {
                process.model.fetch_ended(now, job, true);
                process.changed.notify_one();
            }
        }
    }
}
