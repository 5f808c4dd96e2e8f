//! CPU time and memory of a process, read from `/proc`.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The unit of `utime` and `stime`.
const TICK: Duration = Duration::from_millis(10);

/// The positions of `utime` and `stime` among the fields after the command name.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// A process id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub struct Pid(pub u32);

/// The resource usage of a process so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// CPU time of all its threads.
    pub cpu: Duration,
    /// Size of its resident set in KiB.
    pub rss_kib: u64,
}

/// The reason why the usage of a process cannot be read.
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
    /// The file lacks a documented field.
    #[display("{} lacks {field}; run on Linux 4 or newer", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The missing field.
        field: &'static str,
    },
}

/// Reads the resource usage of `pid` so far.
///
/// # Errors
///
/// [`ProcFault`] if the process does not exist or the system is not Linux.
pub fn usage(pid: Pid) -> Result<Usage, ProcFault> {
    let dir = PathBuf::from(format!("/proc/{pid}"));
    let cpu = match cpu_from_schedstat(&dir) {
        Some(cpu) => cpu,
        None => cpu_from_stat(&dir)?,
    };
    Ok(Usage { cpu, rss_kib: rss_kib(&dir)? })
}

/// CPU time with nanosecond resolution, summed over the threads. Not every kernel provides it.
fn cpu_from_schedstat(dir: &Path) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(dir.join("task")).ok()? {
        let text = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        total += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    (total > Duration::ZERO).then_some(total)
}

/// CPU time in whole ticks.
fn cpu_from_stat(dir: &Path) -> Result<Duration, ProcFault> {
    let path = dir.join("stat");
    let text = read(&path)?;
    // The command name may contain spaces, so fields are counted from its closing parenthesis.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |idx: usize| fields.get(idx).and_then(|it| it.parse::<u32>().ok());
    match (ticks(UTIME_FIELD), ticks(STIME_FIELD)) {
        (Some(utime), Some(stime)) => Ok(TICK * (utime + stime)),
        _ => Err(ProcFault::Malformed { path, field: "utime and stime" }),
    }
}

/// The resident set in KiB. `status` gives it in KiB, so the page size is not needed.
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
