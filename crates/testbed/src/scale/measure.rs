//! The cost of processes, from the files of `/proc`.

use super::real::Usage;
use std::fs;
use std::io;
use std::iter::Sum;
use std::time::Duration;

/// What a process, or all processes of a role, have cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time, of user and system.
    pub processor: Duration,
    /// Resident anonymous memory (`RssAnon`), in bytes: without the text of the program.
    pub resident_bytes: u64,
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Self>>(costs: I) -> Self {
        costs.fold(Self::default(), |sum, cost| Self {
            processor: sum.processor + cost.processor,
            resident_bytes: sum.resident_bytes + cost.resident_bytes,
        })
    }
}

/// What a process has cost since its start.
///
/// # Errors
/// When it has ended, or the system does not tell.
pub fn cost_of(process: u32) -> io::Result<Cost> {
    let usage = Usage::of(process)?;
    // By ticks where the system keeps no finer count.
    let processor = scheduled(process).unwrap_or(usage.processor);
    Ok(Cost { processor, resident_bytes: usage.rss_anon })
}

/// The time that the scheduler gave to all threads, in nanoseconds. Threads that have ended are not in it; the processes of
/// a run end none while they work.
fn scheduled(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let first = text.split_whitespace().next().and_then(|first| first.parse().ok());
        sum += Duration::from_nanos(first.ok_or(io::ErrorKind::InvalidData)?);
    }
    Ok(sum)
}
