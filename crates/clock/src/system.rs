//! The clock of the operating system.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime},
};

use rustix::time::{ClockId, clock_gettime};

use crate::Clock;

/// Reads the clocks of the operating system.
///
/// Unlike [`Instant`] alone, the monotonic time includes the time for which the machine was
/// suspended: a lease must not outlive a suspension of its holder.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

/// The same moment as an instant and as time since boot, for converting boot time to instants.
#[derive(Debug, Clone, Copy)]
struct Origin {
    instant: Instant,
    since_boot: Duration,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let since_boot = since_boot();
        let origin = ORIGIN.get_or_init(|| Origin { instant: Instant::now(), since_boot });
        origin.instant + since_boot.saturating_sub(origin.since_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
