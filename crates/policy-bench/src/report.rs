//! The results of a workload: target attainment, goodput, wasted work and messages.

use std::time::Duration;

use serde::Serialize;

use crate::{
    sim::Design,
    workload::{Arrival, Workload},
};

/// Time after which the burst is assumed to saturate the pool; goodput is measured from then on.
const FILL_TIME: Duration = Duration::from_secs(5);

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEnd {
    Complete,
    Refused,
    Late,
    Lost,
}

#[derive(Debug, Clone)]
pub(crate) struct JobRecord {
    pub(crate) router: usize,
    end: Option<(JobEnd, Duration)>,
    first_token: Option<Duration>,
    tokens: u32,
    good_window_tokens: u64,
}

/// Records the jobs and counts tokens, pauses and messages while a workload runs.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) jobs: Vec<JobRecord>,
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
    /// The name of the class.
    pub name: String,
    /// Requests that arrived.
    pub offered: usize,
    /// Requests that met every target.
    pub attained: usize,
    /// Attained requests as a fraction of the offered ones.
    pub attainment: f64,
    /// Attainment among the requests that arrived at least 2 s after the last fault.
    pub attainment_after_fault: f64,
    /// Fraction of the complete answers whose mean inter-token latency met its target.
    pub between_attainment: f64,
    /// Requests refused on arrival or from the queue.
    pub refused: usize,
    /// Requests ended by the caller's deadline.
    pub late: usize,
    /// Requests ended by a failure.
    pub lost: usize,
    /// The class's fraction of the goodput.
    pub share: f64,
}

/// The results of one run.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Results {
    /// The name of the design.
    pub design: String,
    /// The results of each class, most urgent first.
    pub classes: Vec<ClassResult>,
    /// Tokens of complete answers per second in the measurement window.
    pub goodput: f64,
    /// Goodput as a fraction of the engine model's maximum throughput.
    pub goodput_part: f64,
    /// Fraction of the generated tokens that belong to answers that did not complete in time.
    pub wasted_part: f64,
    /// Number of times that a stream was paused.
    pub pauses: u64,
    /// Load reports and messages between routers, per second and router.
    pub messages_per_router_s: f64,
    /// Bytes of these messages per second and router.
    pub bytes_per_router_s: f64,
}

impl Metrics {
    pub(crate) fn new(workload: &Workload) -> Self {
        let job =
            JobRecord { router: 0, end: None, first_token: None, tokens: 0, good_window_tokens: 0 };
        let from = workload.settings.burst_from + FILL_TIME;
        Self {
            jobs: vec![job; workload.arrivals.len()],
            generated_tokens: 0,
            pauses: 0,
            window: (from, workload.settings.duration),
            messages: 0,
            message_bytes: 0,
        }
    }

    pub(crate) fn in_window(&self, now: Duration) -> bool {
        self.window.0 <= now && now < self.window.1
    }

    pub(crate) fn is_ended(&self, job: usize) -> bool {
        self.jobs[job].end.is_some()
    }

    pub(crate) fn end_job(&mut self, job: usize, now: Duration, end: JobEnd) {
        self.jobs[job].end.get_or_insert((end, now));
    }

    pub(crate) fn add_tokens(&mut self, job: usize, now: Duration, count: u32) {
        let job = &mut self.jobs[job];
        job.first_token.get_or_insert(now);
        job.tokens += count;
    }

    pub(crate) fn complete_job(&mut self, job: usize, now: Duration, window_tokens: u64) {
        if !self.is_ended(job) {
            self.jobs[job].good_window_tokens = window_tokens;
        }
        self.end_job(job, now, JobEnd::Complete);
    }

    pub(crate) fn count_message(&mut self, bytes: u64) {
        self.messages += 1;
        self.message_bytes += bytes;
    }

    pub(crate) fn results(&self, workload: &Workload, design: Design) -> Results {
        let window_s = (self.window.1.saturating_sub(self.window.0)).as_secs_f64();
        let good_tokens: u64 = self.jobs.iter().map(|it| it.good_window_tokens).sum();
        let goodput = good_tokens as f64 / window_s;
        let capacity = crate::tokens_per_second(&workload.engine, workload.servers);
        let useful_tokens: u64 =
            self.jobs.iter().filter(|it| it.is_complete()).map(|it| u64::from(it.tokens)).sum();
        let run_s = workload.settings.duration.as_secs_f64() + 121.0;
        let per_router = run_s * workload.settings.routers as f64;
        let classes =
            (0..workload.classes.len()).map(|it| self.class_result(workload, it, good_tokens));
        Results {
            design: design.to_string(),
            classes: classes.collect(),
            goodput,
            goodput_part: goodput / capacity,
            wasted_part: 1.0 - useful_tokens as f64 / self.generated_tokens.max(1) as f64,
            pauses: self.pauses,
            messages_per_router_s: self.messages as f64 / per_router,
            bytes_per_router_s: self.message_bytes as f64 / per_router,
        }
    }

    fn class_result(&self, workload: &Workload, class: usize, good_tokens: u64) -> ClassResult {
        let all = workload.arrivals.iter().zip(&self.jobs);
        let requests: Vec<_> = all.filter(|(arrival, _)| arrival.class == class).collect();
        let counted_from = workload.settings.faults.iter().map(|it| it.at).max();
        let counted_from = counted_from.map_or(Duration::ZERO, |it| it + Duration::from_secs(2));
        let after_fault: Vec<_> =
            requests.iter().filter(|(arrival, _)| arrival.at >= counted_from).collect();
        let meets_targets =
            |(arrival, job): &(&Arrival, &JobRecord)| job.meets_targets(arrival, workload);
        let attained = requests.iter().filter(|it| meets_targets(it)).count();
        let attained_after_fault = after_fault.iter().filter(|it| meets_targets(it)).count();
        let complete = requests.iter().filter(|(_, job)| job.is_complete()).count();
        let target = Duration::from_millis(workload.classes[class].between_token_target_ms);
        let meets_target =
            |job: &JobRecord| job.mean_inter_token_latency().is_some_and(|it| it <= target);
        let between_attained = requests.iter().filter(|(_, job)| meets_target(job)).count();
        let count =
            |end| requests.iter().filter(|(_, job)| job.end.is_some_and(|it| it.0 == end)).count();
        let class_good_tokens: u64 = requests.iter().map(|(_, job)| job.good_window_tokens).sum();
        ClassResult {
            name: workload.classes[class].name.clone(),
            offered: requests.len(),
            attained,
            attainment: ratio(attained, requests.len()),
            attainment_after_fault: ratio(attained_after_fault, after_fault.len()),
            between_attainment: ratio(between_attained, complete),
            refused: count(JobEnd::Refused),
            late: count(JobEnd::Late),
            lost: count(JobEnd::Lost),
            share: class_good_tokens as f64 / good_tokens.max(1) as f64,
        }
    }
}

impl JobRecord {
    fn is_complete(&self) -> bool {
        self.end.is_some_and(|it| it.0 == JobEnd::Complete)
    }

    fn mean_inter_token_latency(&self) -> Option<Duration> {
        let (Some((JobEnd::Complete, end)), Some(first)) = (self.end, self.first_token) else {
            return None;
        };
        Some((end - first) / self.tokens.max(2).saturating_sub(1))
    }

    /// Returns whether the first-token latency, the mean inter-token latency and the total latency
    /// met their targets.
    fn meets_targets(&self, arrival: &Arrival, workload: &Workload) -> bool {
        let class = &workload.classes[arrival.class];
        let (Some((JobEnd::Complete, end)), Some(first)) = (self.end, self.first_token) else {
            return false;
        };
        let inter_token_latency = (end - first) / self.tokens.max(2).saturating_sub(1);
        let millis = |it: Duration| it.as_millis() as u64;
        millis(first - arrival.at) <= class.first_token_target_ms
            && millis(inter_token_latency) <= class.between_token_target_ms
            && millis(end - arrival.at) <= class.whole_target_ms
    }
}

fn ratio(count: usize, total: usize) -> f64 {
    count as f64 / total.max(1) as f64
}
