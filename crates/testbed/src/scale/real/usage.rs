//! Reads the resource usage of a process from the files of proc(5).

use serde::Serialize;
use std::io;
use std::time::Duration;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// The processor time of all threads since the start of the process, in user and system mode. Its
    /// resolution is the system's clock tick, usually 10 ms.
    pub processor: Duration,
    /// Anonymous resident memory (RssAnon), in bytes.
    pub rss_anon: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or has ended, or if a file does not have the format of
    /// proc(5).
    pub fn of(process: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        if has_ended(&stat) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let ticks = processor_ticks(&stat).ok_or(io::ErrorKind::InvalidData)?;
        let seconds = ticks as f64 / rustix::param::clock_ticks_per_second() as f64;
        // The line is missing if the process is just ending and has released its memory.
        let rss_anon = rss_anon(&status).unwrap_or(0);
        Ok(Self { processor: Duration::from_secs_f64(seconds), rss_anon })
    }
}

/// Returns whether the process is a zombie or dead, by the state in field 3.
fn has_ended(stat: &str) -> bool {
    stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with(['Z', 'X']))
}

/// Returns the ticks in user and system mode, fields 14 and 15. Field 2 is a name in parentheses that may
/// contain any character.
fn processor_ticks(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(") ")?;
    // `rest` starts with field 3.
    let mut fields = rest.split(' ').skip(14 - 3);
    let mut next = || fields.next()?.parse::<u64>().ok();
    next()?.checked_add(next()?)
}

fn rss_anon(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    kilobytes.checked_mul(1 << 10)
}
