//! The log: lines on standard error.

use std::fmt::Arguments;
use std::io::Write;

/// Writes a line in one call, so that lines of processes that share a log do not mix. Unlike `eprintln!`, it does not panic
/// when standard error is closed.
macro_rules! log {
    ($($text:tt)*) => {
        $crate::log::line(format_args!($($text)*))
    };
}

pub(crate) use log;

/// Writes a line. Used by [`log`].
pub fn line(text: Arguments) {
    let line = format!("{text}\n");
    // There is nowhere else to report a failure.
    let _ = std::io::stderr().write_all(line.as_bytes());
}
