//! Decides when a router that hears nothing from any server checks whether it is cut off from them.

use std::time::{Duration, Instant};

/// With requests in flight and no data from any server for this long, servers are probed.
const SILENCE: Duration = Duration::from_millis(500);
/// The shortest time between a probe that was answered and the next one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time since which no server has sent data, while requests are in flight.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    in_flight: usize,
    silent_since: Option<Instant>,
    probed_at: Option<Instant>,
}

impl SilenceWatch {
    /// Records that an attempt was sent to a server.
    pub fn attempt_began(&mut self, now: Instant) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that an attempt has ended, whether it was answered or not.
    pub fn attempt_ended(&mut self) {
        self.in_flight -= 1;
        if self.in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Records data from a server.
    pub fn heard(&mut self, now: Instant) {
        self.silent_since = self.silent_since.map(|_| now);
    }

    /// When servers are to be probed if nothing is heard until then; `None` without requests in flight.
    #[must_use]
    pub fn probe_due(&self) -> Option<Instant> {
        let silent = self.silent_since? + SILENCE;
        Some(self.probed_at.map_or(silent, |it| silent.max(it + PROBE_INTERVAL)))
    }

    /// Records that servers were probed, whatever the result.
    pub fn probed(&mut self, now: Instant) {
        self.probed_at = Some(now);
    }

    /// How long no server has sent data, if requests are in flight.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        self.silent_since.map(|it| now.saturating_duration_since(it))
    }
}
