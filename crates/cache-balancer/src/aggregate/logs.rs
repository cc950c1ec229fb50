//! Reads tally lines from the logs of nodes.

use crate::tally::{TallyLine, LINE_PREFIX};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use thiserror::Error;

/// Maximum length of a line. Nodes never write longer ones.
pub(super) const MAX_LINE_BYTES: u64 = 1 << 20;
/// Maximum time span of all logs, in seconds. It keeps a node with a wrong clock from filling the table.
const MAX_SECONDS: usize = 1 << 20;
/// Maximum number of bad lines that are reported one by one. Further ones are only counted.
const MAX_REPORTED_LINES: usize = 20;

/// The reason for skipping a line.
#[derive(Debug, Error)]
enum LineError {
    #[error("invalid tally line: {0}")]
    Json(#[from] serde_json::Error),
    #[error("longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("its second is more than {MAX_SECONDS} seconds away from other lines")]
    DistantSecond,
}

/// The tally lines of all logs.
#[derive(Debug, Default)]
pub(super) struct TallyLogs {
    /// Tally lines by second of Unix time.
    pub(super) seconds: BTreeMap<u64, Vec<TallyLine>>,
    /// Number of bad lines.
    pub(super) skipped: usize,
}

impl TallyLogs {
    /// Reads a log. Bad lines are reported with file and line number, and skipped.
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
        let is_in_range = |other: &u64| tally.second.abs_diff(*other) < MAX_SECONDS as u64;
        let first_and_last = [self.seconds.keys().next(), self.seconds.keys().next_back()];
        if !first_and_last.into_iter().flatten().all(is_in_range) {
            return Err(LineError::DistantSecond);
        }
        self.seconds.entry(tally.second).or_default().push(tally);
        Ok(())
    }
}

/// Parses a tally line. Returns `None` for other lines. Log collectors may insert their own text before that
/// of the node.
fn parse(line: &[u8]) -> Result<Option<TallyLine>, LineError> {
    let prefix = LINE_PREFIX.as_bytes();
    let Some(start) = line.windows(prefix.len()).position(|window| window == prefix) else { return Ok(None) };
    let json = line[start + prefix.len()..].trim_ascii();
    // Other lines may contain the prefix in their text.
    if !json.starts_with(b"{") {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(json)?))
}
