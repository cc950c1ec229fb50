//! Measures processor time and memory of processes from files in `/proc`.

use super::real::Usage;
use std::fs;
use std::io;
use std::iter::Sum;
use std::time::Duration;

/// Processor time and memory of a process, or of all processes of a role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time in user and system mode since the start of the process.
    pub processor: Duration,
    /// Resident anonymous memory (`RssAnon`) in bytes, without the program text.
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

/// Returns the processor time since the start of a process, and its current memory.
///
/// # Errors
/// If the process has ended, or its files in `/proc` cannot be read.
pub fn cost_of(process: u32) -> io::Result<Cost> {
    let usage = Usage::of(process)?;
    // Falls back to the count in clock ticks where the kernel provides no scheduler statistics.
    let processor = scheduled_time(process).unwrap_or(usage.processor);
    Ok(Cost { processor, resident_bytes: usage.rss_anon })
}

/// Returns the time that all threads of a process have run, from the scheduler statistics, which count
/// nanoseconds. Threads that have ended are not included; the processes of a run end no thread while they
/// work.
fn scheduled_time(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let first = text.split_whitespace().next().and_then(|first| first.parse().ok());
        sum += Duration::from_nanos(first.ok_or(io::ErrorKind::InvalidData)?);
    }
    Ok(sum)
}
