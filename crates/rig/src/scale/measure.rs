//! What processes cost, by the files of `/proc`.

use std::fs;
use std::io;
use std::iter::Sum;
use std::time::Duration;

/// What one process, or all of a role, has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time, of user and system.
    pub processor: Duration,
    /// Resident anonymous memory (`RssAnon`), in bytes: what the process itself has filled, its program's text apart.
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
    let processor = scheduled(process).or_else(|_| ticked(process))?;
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    Ok(Cost { processor, resident_bytes: resident(&status).ok_or(io::ErrorKind::InvalidData)? })
}

/// The time that the scheduler gave to all threads, in nanoseconds; threads that have ended are not in it, and the
/// processes of a run end none while they work.
fn scheduled(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let first = text.split_whitespace().next().and_then(|first| first.parse().ok());
        sum += Duration::from_nanos(first.ok_or(io::ErrorKind::InvalidData)?);
    }
    Ok(sum)
}

/// The same by the system's ticks, most often of 10 ms.
fn ticked(process: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let ticks = ticks_of(&stat).ok_or(io::ErrorKind::InvalidData)?;
    Ok(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// The ticks of user and system, in the text of a process's `stat`.
fn ticks_of(stat: &str) -> Option<u64> {
    // The second field is the program's name in brackets, and may hold spaces.
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn resident(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1_024)
}
