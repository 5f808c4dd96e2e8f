//! Processor time and memory of a process, from the kernel's own accounting.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The kernel counts `utime` and `stime` in ticks of this length.
const TICK: Duration = Duration::from_millis(10);

/// The positions of `utime` and `stime` among the fields after the command name.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// The number of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub struct Pid(pub u32);

/// The use of a process so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Memory in its resident set, in KiB.
    pub rss_kib: u64,
}

/// The accounting of a process cannot be read.
#[derive(Debug, Display, Error)]
pub enum ProcFault {
    /// The file cannot be read.
    #[display("cannot read {}: {source}; check that the process runs", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file does not look as the kernel documents it.
    #[display("{} lacks {field}; run on Linux 4 or newer", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is missing.
        field: &'static str,
    },
}

/// Reads the use of `pid` so far.
///
/// # Errors
///
/// [`ProcFault`] where the process is gone or the system is not Linux.
pub fn usage(pid: Pid) -> Result<Usage, ProcFault> {
    let dir = PathBuf::from(format!("/proc/{pid}"));
    let cpu = match scheduled(&dir) {
        Some(cpu) => cpu,
        None => ticked(&dir)?,
    };
    Ok(Usage { cpu, rss_kib: rss_kib(&dir)? })
}

/// The time on a processor in nanoseconds, summed over the threads; not every kernel has it.
fn scheduled(dir: &Path) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(dir.join("task")).ok()? {
        let text = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        total += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    (total > Duration::ZERO).then_some(total)
}

/// The time on a processor in whole ticks.
fn ticked(dir: &Path) -> Result<Duration, ProcFault> {
    let path = dir.join("stat");
    let text = read(&path)?;
    // The command name may hold blanks, so fields are counted from the bracket that closes it.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |idx: usize| fields.get(idx).and_then(|it| it.parse::<u32>().ok());
    match (ticks(UTIME_FIELD), ticks(STIME_FIELD)) {
        (Some(utime), Some(stime)) => Ok(TICK * (utime + stime)),
        _ => Err(ProcFault::Malformed { path, field: "utime and stime" }),
    }
}

/// The resident set as the kernel states it in KiB, which spares knowing the size of a page.
fn rss_kib(dir: &Path) -> Result<u64, ProcFault> {
    let path = dir.join("status");
    let text = read(&path)?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.ok_or(ProcFault::Malformed { path, field: "VmRSS" })
}

fn read(path: &Path) -> Result<String, ProcFault> {
    let unreadable = |source| ProcFault::Unreadable { path: path.to_owned(), source };
    fs::read_to_string(path).map_err(unreadable)
}
