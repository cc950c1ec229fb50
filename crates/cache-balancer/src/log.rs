//! The log: lines on standard error.

use std::fmt::Arguments;
use std::io::Write;

/// Writes a line whole, in one call: lines of processes that share a log do not mix, and one that nobody reads any more
/// ends no node, as `eprintln!` would.
macro_rules! log {
    ($($words:tt)*) => {
        $crate::log::line(format_args!($($words)*))
    };
}

pub(crate) use log;

/// See [`log`].
pub fn line(words: Arguments) {
    let line = format!("{words}\n");
    // There is nowhere else to say so.
    let _ = std::io::stderr().write_all(line.as_bytes());
}
