//! Progress output of a run on standard error.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

/// Time between two lines if lines are not rewritten in place.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Width to which rewritten lines are padded, to cover the previous line.
const WIDTH: usize = 90;

/// Prints the current progress as one line.
pub struct ProgressDisplay {
    /// Whether each line overwrites the previous one.
    rewrites: bool,
    shown_at: Option<Instant>,
}

impl ProgressDisplay {
    /// Creates a display that always rewrites its line, even if standard error is no terminal.
    pub fn rewriting() -> Self {
        Self { rewrites: true, shown_at: None }
    }

    /// Creates a display that rewrites its line on a terminal, and otherwise writes a line every 5 seconds.
    pub fn for_standard_error() -> Self {
        Self { rewrites: std::io::stderr().is_terminal(), shown_at: None }
    }

    /// Shows a line. Without a terminal, lines that come too soon after the last are dropped unless `urgent`.
    pub fn show(&mut self, line: &str, urgent: bool) {
        let due = urgent || self.shown_at.is_none_or(|at| at.elapsed() >= LINE_INTERVAL);
        if !self.rewrites && !due {
            return;
        }
        self.shown_at = Some(Instant::now());
        let mut stderr = std::io::stderr().lock();
        // A failure to print progress must not fail the run.
        let _ = if self.rewrites {
            write!(stderr, "\r{line:<WIDTH$}").and_then(|()| stderr.flush())
        } else {
            writeln!(stderr, "{line}")
        };
    }

    /// Terminates the rewritten line with a newline.
    pub fn finish(&self) {
        if self.rewrites && self.shown_at.is_some() {
            // A failure to print progress must not fail the run.
            let _ = writeln!(std::io::stderr());
        }
    }
}
