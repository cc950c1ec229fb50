//! What a process uses, as proc(5) has it.

use serde::Serialize;
use std::io;
use std::time::Duration;

/// What a process has used, and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Processor time of all its threads since its start, in user and system mode. Its grain is the system's tick, mostly
    /// 10 ms.
    pub processor: Duration,
    /// Memory that is its own and in use (RssAnon), in bytes.
    pub rss_anon: u64,
}

impl Usage {
    /// Of this process.
    ///
    /// # Errors
    ///
    /// Where there is no such process, it has ended, or the system says something that proc(5) does not.
    pub fn of(process: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        if ended(&stat) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let ticks = ticks(&stat).ok_or(io::ErrorKind::InvalidData)?;
        let seconds = ticks as f64 / rustix::param::clock_ticks_per_second() as f64;
        // A process that ends just now holds nothing any more, and the line is missing.
        let rss_anon = rss_anon(&status).unwrap_or(0);
        Ok(Self { processor: Duration::from_secs_f64(seconds), rss_anon })
    }
}

/// Whether the process has ended and is not waited for yet: field 3.
fn ended(stat: &str) -> bool {
    stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with(['Z', 'X']))
}

/// Ticks in user and system mode: fields 14 and 15. The second field is a name in brackets, which may hold anything.
fn ticks(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(") ")?;
    // The first of these is field 3.
    let mut fields = rest.split(' ').skip(14 - 3);
    let mut next = || fields.next()?.parse::<u64>().ok();
    next()?.checked_add(next()?)
}

fn rss_anon(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    kilobytes.checked_mul(1 << 10)
}
