//! What came of a workload: attainment, goodput, wasted work and messages.

use std::time::Duration;

use serde::Serialize;

use crate::{
    sim::Design,
    workload::{Arrival, Workload},
};

/// Time from the burst's start until it is taken to fill the pool.
const FILL: Duration = Duration::from_secs(5);

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Complete,
    Refused,
    Late,
    Lost,
}

#[derive(Debug, Clone)]
pub(crate) struct JobState {
    pub(crate) router: usize,
    end: Option<(End, Duration)>,
    first_token: Option<Duration>,
    tokens: u32,
    good_in_window: u64,
}

/// Counts while a workload runs.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) jobs: Vec<JobState>,
    pub(crate) generated_tokens: u64,
    pub(crate) pauses: u64,
    window: (Duration, Duration),
    messages: u64,
    message_bytes: u64,
}

/// The results of one class.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassResult {
    /// The name.
    pub name: String,
    /// Requests that arrived.
    pub offered: usize,
    /// Requests that met every target.
    pub attained: usize,
    /// Attained as a part of those offered.
    pub attainment: f64,
    /// Attainment of those that arrived from 2 s after the last fault on.
    pub attainment_after_fault: f64,
    /// Complete answers whose mean time between tokens met its target, as a part of them.
    pub between_attainment: f64,
    /// Refused at the offer or from the queue.
    pub refused: usize,
    /// Ended by the caller's deadline.
    pub late: usize,
    /// Ended by a failure.
    pub lost: usize,
    /// The class's part of the good tokens while the burst fills the pool.
    pub share: f64,
}

/// The results of one run.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Results {
    /// The design.
    pub design: String,
    /// By class, most urgent first.
    pub classes: Vec<ClassResult>,
    /// Good tokens a second while the burst fills the pool.
    pub goodput: f64,
    /// Goodput as a part of what the engine model can do.
    pub goodput_part: f64,
    /// Tokens of answers that did not complete in time, as a part of all tokens generated.
    pub wasted_part: f64,
    /// Streams paused.
    pub pauses: u64,
    /// Messages between routers, and reports, a second and router.
    pub messages_per_router_s: f64,
    /// Their bytes.
    pub bytes_per_router_s: f64,
}

impl Tally {
    pub(crate) fn new(workload: &Workload) -> Self {
        let job =
            JobState { router: 0, end: None, first_token: None, tokens: 0, good_in_window: 0 };
        let from = workload.settings.burst_from + FILL;
        Self {
            jobs: vec![job; workload.arrivals.len()],
            generated_tokens: 0,
            pauses: 0,
            window: (from, workload.settings.duration),
            messages: 0,
            message_bytes: 0,
        }
    }

    pub(crate) fn is_window(&self, now: Duration) -> bool {
        self.window.0 <= now && now < self.window.1
    }

    pub(crate) fn is_ended(&self, job: usize) -> bool {
        self.jobs[job].end.is_some()
    }

    pub(crate) fn end(&mut self, job: usize, now: Duration, end: End) {
        self.jobs[job].end.get_or_insert((end, now));
    }

    pub(crate) fn token(&mut self, job: usize, now: Duration, count: u32) {
        let job = &mut self.jobs[job];
        job.first_token.get_or_insert(now);
        job.tokens += count;
    }

    pub(crate) fn complete(&mut self, job: usize, now: Duration, in_window: u64) {
        if !self.is_ended(job) {
            self.jobs[job].good_in_window = in_window;
        }
        self.end(job, now, End::Complete);
    }

    pub(crate) fn count_message(&mut self, bytes: u64) {
        self.messages += 1;
        self.message_bytes += bytes;
    }

    pub(crate) fn finish(&self, workload: &Workload, design: Design) -> Results {
        let window_s = (self.window.1.saturating_sub(self.window.0)).as_secs_f64();
        let good: u64 = self.jobs.iter().map(|it| it.good_in_window).sum();
        let goodput = good as f64 / window_s;
        let capacity = crate::tokens_per_second(&workload.engine, workload.servers);
        let useful: u64 =
            self.jobs.iter().filter(|it| it.is_complete()).map(|it| u64::from(it.tokens)).sum();
        let run_s = workload.settings.duration.as_secs_f64() + 121.0;
        let per_router = run_s * workload.settings.routers as f64;
        let classes = (0..workload.classes.len()).map(|it| self.class(workload, it, good));
        Results {
            design: design.to_string(),
            classes: classes.collect(),
            goodput,
            goodput_part: goodput / capacity,
            wasted_part: 1.0 - useful as f64 / self.generated_tokens.max(1) as f64,
            pauses: self.pauses,
            messages_per_router_s: self.messages as f64 / per_router,
            bytes_per_router_s: self.message_bytes as f64 / per_router,
        }
    }

    fn class(&self, workload: &Workload, class: usize, good: u64) -> ClassResult {
        let all = workload.arrivals.iter().zip(&self.jobs);
        let own: Vec<_> = all.filter(|(arrival, _)| arrival.class == class).collect();
        let settled = workload.settings.faults.iter().map(|it| it.at).max();
        let settled = settled.map_or(Duration::ZERO, |it| it + Duration::from_secs(2));
        let after: Vec<_> = own.iter().filter(|(arrival, _)| arrival.at >= settled).collect();
        let attains = |(arrival, job): &(&Arrival, &JobState)| job.attains(arrival, workload);
        let attained = own.iter().filter(|it| attains(it)).count();
        let attained_after = after.iter().filter(|it| attains(it)).count();
        let complete = own.iter().filter(|(_, job)| job.is_complete()).count();
        let target = Duration::from_millis(workload.classes[class].between_token_target_ms);
        let is_even = |job: &JobState| job.mean_gap().is_some_and(|it| it <= target);
        let between = own.iter().filter(|(_, job)| is_even(job)).count();
        let count =
            |end| own.iter().filter(|(_, job)| job.end.is_some_and(|it| it.0 == end)).count();
        let own_good: u64 = own.iter().map(|(_, job)| job.good_in_window).sum();
        ClassResult {
            name: workload.classes[class].name.clone(),
            offered: own.len(),
            attained,
            attainment: part(attained, own.len()),
            attainment_after_fault: part(attained_after, after.len()),
            between_attainment: part(between, complete),
            refused: count(End::Refused),
            late: count(End::Late),
            lost: count(End::Lost),
            share: own_good as f64 / good.max(1) as f64,
        }
    }
}

impl JobState {
    fn is_complete(&self) -> bool {
        self.end.is_some_and(|it| it.0 == End::Complete)
    }

    fn mean_gap(&self) -> Option<Duration> {
        let (Some((End::Complete, end)), Some(first)) = (self.end, self.first_token) else {
            return None;
        };
        Some((end - first) / self.tokens.max(2).saturating_sub(1))
    }

    /// Whether the first token, the mean time between tokens and the whole met their targets.
    fn attains(&self, arrival: &Arrival, workload: &Workload) -> bool {
        let class = &workload.classes[arrival.class];
        let (Some((End::Complete, end)), Some(first)) = (self.end, self.first_token) else {
            return false;
        };
        let gap = (end - first) / self.tokens.max(2).saturating_sub(1);
        let millis = |it: Duration| it.as_millis() as u64;
        millis(first - arrival.at) <= class.first_token_target_ms
            && millis(gap) <= class.between_token_target_ms
            && millis(end - arrival.at) <= class.whole_target_ms
    }
}

fn part(of: usize, whole: usize) -> f64 {
    of as f64 / whole.max(1) as f64
}
