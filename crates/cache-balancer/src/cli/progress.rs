//! The progress of a run on standard error.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

/// Where lines are not rewritten, one comes this often.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Rewritten lines are padded to this width, to cover the one before.
const WIDTH: usize = 90;

/// Shows one line of progress at a time.
pub struct ProgressDisplay {
    /// Whether each line is written over the one before.
    rewrites: bool,
    shown_at: Option<Instant>,
}

impl ProgressDisplay {
    /// Rewrites its line, whatever standard error is.
    pub fn rewriting() -> Self {
        Self { rewrites: true, shown_at: None }
    }

    /// Rewrites its line on a terminal; elsewhere it writes one every 5 seconds.
    pub fn for_standard_error() -> Self {
        Self { rewrites: std::io::stderr().is_terminal(), shown_at: None }
    }

    /// Shows a line if one is due. `urgent` makes it due at once.
    pub fn show(&mut self, line: &str, urgent: bool) {
        let due = urgent || self.shown_at.is_none_or(|at| at.elapsed() >= LINE_INTERVAL);
        if !self.rewrites && !due {
            return;
        }
        self.shown_at = Some(Instant::now());
        let mut stderr = std::io::stderr().lock();
        // Progress that can't be shown is no fault of the run.
        let _ = if self.rewrites {
            write!(stderr, "\r{line:<WIDTH$}").and_then(|()| stderr.flush())
        } else {
            writeln!(stderr, "{line}")
        };
    }

    /// Ends the line that was rewritten last.
    pub fn finish(&self) {
        if self.rewrites && self.shown_at.is_some() {
            // As above.
            let _ = writeln!(std::io::stderr());
        }
    }
}
