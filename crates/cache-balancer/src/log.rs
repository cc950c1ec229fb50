//! Logs lines to standard error.

use std::fmt::Arguments;
use std::io::Write;

/// Logs a line with a single write, so that lines of processes that share a log do not mix. Unlike
/// `eprintln!`, it does not panic when standard error is closed.
macro_rules! log {
    ($($text:tt)*) => {
        $crate::log::write_line(format_args!($($text)*))
    };
}

pub(crate) use log;

/// Writes a line. Used by [`log`].
pub fn write_line(text: Arguments) {
    let line = format!("{text}\n");
    // A failure is ignored, since there is no other place to report it.
    let _ = std::io::stderr().write_all(line.as_bytes());
}
