//! The memory that the system lets this process use, and what it uses.

use std::fs::read_to_string;
use std::path::{Path, PathBuf};

/// Where the hierarchies of control groups are mounted, see cgroups(7).
const CGROUP_ROOT: &str = "/sys/fs/cgroup";
const KIB: usize = 1 << 10;

/// Returns the lowest memory limit of the process's control group and its ancestors, or the memory of the
/// system if that is lower, in bytes. Returns `None` if neither can be read.
pub(super) fn system_limit() -> Option<usize> {
    let groups = read_to_string("/proc/self/cgroup").unwrap_or_default();
    let memory = read_to_string("/proc/meminfo").unwrap_or_default();
    let of_groups = limit_files(&groups, Path::new(CGROUP_ROOT)).into_iter().filter_map(|file| {
        // A group without a limit has the word `max` in its file, or a number beyond any memory.
        read_to_string(file).ok()?.trim().parse().ok()
    });
    of_groups.chain(kib_field(&memory, "MemTotal:")).min()
}

/// Returns the memory limit of a process whose configuration has none: that of the system, or none at all if
/// the system does not tell it.
pub fn default_limit() -> usize {
    system_limit().unwrap_or(usize::MAX)
}

/// Returns the resident memory of this process in bytes, or `None` if it cannot be read.
pub fn resident_bytes() -> Option<usize> {
    kib_field(&read_to_string("/proc/self/status").ok()?, "VmRSS:")
}

/// Returns the files that may hold a memory limit of the groups in `groups`, the text of /proc/self/cgroup.
pub(super) fn limit_files(groups: &str, root: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for line in groups.lines() {
        let mut fields = line.splitn(3, ':').skip(1);
        let (Some(controllers), Some(group)) = (fields.next(), fields.next()) else { continue };
        let (mount, file) = match controllers {
            "" => (root.to_owned(), "memory.max"),
            _ if controllers.split(',').any(|name| name == "memory") => {
                (root.join("memory"), "memory.limit_in_bytes")
            }
            _ => continue,
        };
        let group = Path::new(group.trim_start_matches('/'));
        files.extend(group.ancestors().map(|ancestor| mount.join(ancestor).join(file)));
    }
    files
}

/// Returns a field in KiB of a file such as /proc/meminfo, in bytes.
pub(super) fn kib_field(text: &str, name: &str) -> Option<usize> {
    let value = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: usize = value.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * KIB)
}
