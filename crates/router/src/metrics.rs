//! Counts and times by class, pool and outcome.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

use crate::outcome::Outcome;

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS_S: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// The router's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    requests: IntCounterVec,
    attempts: IntCounterVec,
    tokens: IntCounterVec,
    first_token: HistogramVec,
    whole: HistogramVec,
    queued: HistogramVec,
    in_flight: IntGauge,
    revision: IntGauge,
}

/// What a request is counted by.
#[derive(Debug, Clone, Copy)]
pub struct Labels<'a> {
    /// Its class; empty when no route was found.
    pub class: &'a str,
    /// Its pool.
    pub pool: &'a str,
}

/// Held by a request that waits or runs.
#[derive(Debug)]
pub struct InFlight(IntGauge);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When the registry holds some of them already.
    pub fn register(registry: &Registry) -> prometheus::Result<Metrics> {
        let class_pool = &["class", "pool"];
        Ok(Metrics {
            requests: counter(
                registry,
                "router_requests_total",
                "Requests answered, by what is known about their execution and by HTTP status.",
                &["class", "pool", "outcome", "status"],
            )?,
            attempts: counter(
                registry,
                "router_attempts_total",
                "Attempts at backend servers.",
                &["class", "pool", "result"],
            )?,
            tokens: counter(registry, "router_tokens_total", "Tokens received.", class_pool)?,
            first_token: times(
                registry,
                "router_first_token_seconds",
                "Time from arrival to the first token.",
            )?,
            whole: times(registry, "router_whole_seconds", "Time from arrival to the end.")?,
            queued: times(registry, "router_queued_seconds", "Time from arrival to a place.")?,
            in_flight: gauge(
                registry,
                "router_in_flight",
                "Requests that wait or run, streams to their end.",
            )?,
            revision: gauge(registry, "router_tables_revision", "Revision of the tables.")?,
        })
    }

    /// Counts an answered request.
    pub fn answered(&self, labels: Labels<'_>, outcome: Outcome, status: u16, time: Duration) {
        let (outcome, status) = (outcome.to_string(), status.to_string());
        let values = [labels.class, labels.pool, outcome.as_str(), status.as_str()];
        self.requests.with_label_values(&values).inc();
        self.whole.with_label_values(&[labels.class, labels.pool]).observe(time.as_secs_f64());
    }

    /// Counts an attempt at a backend server.
    pub fn attempted(&self, labels: Labels<'_>, result: &str) {
        self.attempts.with_label_values(&[labels.class, labels.pool, result]).inc();
    }

    /// Notes the time to a place at a backend server.
    pub fn placed(&self, labels: Labels<'_>, time: Duration) {
        self.queued.with_label_values(&[labels.class, labels.pool]).observe(time.as_secs_f64());
    }

    /// Notes the time to the first token.
    pub fn first_token(&self, labels: Labels<'_>, time: Duration) {
        let values = [labels.class, labels.pool];
        self.first_token.with_label_values(&values).observe(time.as_secs_f64());
    }

    /// Counts the tokens of an answer.
    pub fn tokens(&self, labels: Labels<'_>, count: u32) {
        self.tokens.with_label_values(&[labels.class, labels.pool]).inc_by(count.into());
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn in_flight(&self) -> InFlight {
        self.in_flight.inc();
        InFlight(self.in_flight.clone())
    }

    /// Notes the revision of the tables in force.
    pub fn revision(&self, revision: u64) {
        self.revision.set(revision.try_into().unwrap_or(i64::MAX));
    }
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn times(registry: &Registry, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec());
    let metric = HistogramVec::new(opts, &["class", "pool"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
