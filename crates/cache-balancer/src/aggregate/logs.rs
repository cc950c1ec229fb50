//! Reads the tally lines of nodes' logs.

use crate::tally::{TallyLine, LINE_PREFIX};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use thiserror::Error;

/// The longest line that is read; longer ones are not written by a node.
pub(super) const MAX_LINE_BYTES: u64 = 1 << 20;
/// The longest span of time, in seconds, that logs cover: a wrong clock must not fill the table.
const MAX_SECONDS: usize = 1 << 20;
/// The number of bad lines of which each is reported; further ones are counted only.
const MAX_REPORTED_LINES: usize = 20;

/// Why a line of a log is skipped.
#[derive(Debug, Error)]
enum LineError {
    #[error("no tally: {0}")]
    Json(#[from] serde_json::Error),
    #[error("longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("a second that lies more than {MAX_SECONDS} seconds from the others")]
    DistantSecond,
}

/// The tally lines of all logs.
#[derive(Debug, Default)]
pub(super) struct TallyLogs {
    /// By second of Unix time.
    pub(super) seconds: BTreeMap<u64, Vec<TallyLine>>,
    /// The number of bad lines.
    pub(super) skipped: usize,
}

impl TallyLogs {
    /// Reads a log. Bad lines are reported by file and line, and skipped.
    pub(super) fn read(&mut self, name: &Path, log: impl Read) -> io::Result<()> {
        let mut log = BufReader::new(log);
        let mut line = Vec::new();
        for number in 1_u64.. {
            line.clear();
            if log.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line)? == 0 {
                break;
            }
            let result = if line.len() as u64 == MAX_LINE_BYTES && line.last() != Some(&b'\n') {
                log.skip_until(b'\n')?;
                Err(LineError::TooLong)
            } else {
                self.add_line(&line)
            };
            if let Err(error) = result {
                self.skipped += 1;
                if self.skipped <= MAX_REPORTED_LINES {
                    eprintln!("{}:{number}: {error}; skipped", name.display());
                }
            }
        }
        Ok(())
    }

    fn add_line(&mut self, line: &[u8]) -> Result<(), LineError> {
        let Some(tally) = parse(line)? else { return Ok(()) };
        let near = |other: &u64| tally.second.abs_diff(*other) < MAX_SECONDS as u64;
        let ends = [self.seconds.keys().next(), self.seconds.keys().next_back()];
        if !ends.into_iter().flatten().all(near) {
            return Err(LineError::DistantSecond);
        }
        self.seconds.entry(tally.second).or_default().push(tally);
        Ok(())
    }
}

/// The tally of a line, or `None` for a line of another kind. Whoever collected the log may have put text of
/// its own before the node's.
fn parse(line: &[u8]) -> Result<Option<TallyLine>, LineError> {
    let prefix = LINE_PREFIX.as_bytes();
    let Some(start) = line.windows(prefix.len()).position(|window| window == prefix) else { return Ok(None) };
    let rest = line[start + prefix.len()..].trim_ascii();
    // The word may occur in the text of another line.
    if !rest.starts_with(b"{") {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(rest)?))
}
