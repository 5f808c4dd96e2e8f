//! The number of servers that the demand needs.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::Demand;

/// The share of a server's capacity that is planned for. Requests do not arrive evenly, and a new server
/// serves only after its boot time.
const UTILISATION: f64 = 0.6;
/// The time constant of the smoothing: requests last about this long.
const SMOOTHING: Duration = Duration::from_millis(1_000);
/// The time for which a peak counts.
const PEAK_WINDOW: Duration = Duration::from_secs(60);
/// One peak is kept for each step of this length.
const PEAK_STEP: Duration = Duration::from_secs(1);
/// The growth of the demand is extrapolated to the time at which new servers serve, up to this factor.
const FORECAST_MAX: f64 = 1.5;
/// The time between the two values from which the growth is computed.
const SLOPE_SPAN: Duration = Duration::from_secs(2);
/// A server's unread tokens at which it reads prompts about half of its time, while one prompt follows another.
const UNREAD_HALF: f64 = 4_000.0;

/// The demand of a pool over time.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandHistory {
    last: Option<Instant>,
    /// Requests, smoothed.
    requests: f64,
    /// Unread tokens of one server, smoothed.
    unread_per_server: f64,
    /// Earlier values of `requests`, for the growth.
    recent: VecDeque<(Instant, f64)>,
    /// The highest need of each step, with the beginning of the step.
    peaks: VecDeque<(Instant, u32)>,
}

impl DemandHistory {
    /// Records the demand while `serving` servers serve, which run `slots` requests each at once.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        demand: Demand,
        serving: u32,
        slots: u32,
        boot: Duration,
    ) {
        let requests = f64::from(demand.at_servers.saturating_add(demand.at_routers));
        let unread = demand.unread_tokens as f64 / f64::from(serving.max(1));
        let weight = match self.last.replace(now) {
            Some(last) => {
                let step = now.saturating_duration_since(last);
                1.0 - (-step.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
            }
            None => 1.0,
        };
        self.requests += (requests - self.requests) * weight;
        self.unread_per_server += (unread - self.unread_per_server) * weight;
        let ahead = self.requests_ahead(now, boot);
        let by_slots = ahead / (f64::from(slots.max(1)) * UTILISATION);
        let reading = self.unread_per_server / (self.unread_per_server + UNREAD_HALF);
        let by_reading = f64::from(serving) * reading / UTILISATION;
        self.record_peak(now, by_slots.max(by_reading).ceil() as u32);
    }

    /// The requests expected once servers that are ordered now serve.
    fn requests_ahead(&mut self, now: Instant, boot: Duration) -> f64 {
        self.recent.push_back((now, self.requests));
        while self.recent.get(1).is_some_and(|it| it.0 + SLOPE_SPAN <= now) {
            self.recent.pop_front();
        }
        let (since, before) = self.recent[0];
        let span = now.saturating_duration_since(since);
        if span < SLOPE_SPAN {
            return self.requests;
        }
        let growth_per_s = (self.requests - before).max(0.0) / span.as_secs_f64();
        let ahead = self.requests + growth_per_s * boot.as_secs_f64();
        ahead.min(self.requests * FORECAST_MAX)
    }

    fn record_peak(&mut self, now: Instant, need: u32) {
        match self.peaks.back_mut() {
            Some((began, peak)) if now < *began + PEAK_STEP => *peak = need.max(*peak),
            _ => self.peaks.push_back((now, need)),
        }
        while self.peaks.front().is_some_and(|it| it.0 + PEAK_WINDOW <= now) {
            self.peaks.pop_front();
        }
    }

    /// The servers needed for the highest demand within [`PEAK_WINDOW`]; 0 before any demand.
    pub(crate) fn need(&self) -> u32 {
        self.peaks.iter().map(|it| it.1).max().unwrap_or(0)
    }
}
