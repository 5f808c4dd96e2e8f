//! The router's Prometheus metrics, by class, pool and outcome.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

use crate::outcome::Outcome;

/// Upper bounds of the buckets of the time histograms.
const TIME_BUCKETS_S: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// The router's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    requests: IntCounterVec,
    attempts: IntCounterVec,
    hedges: IntCounterVec,
    forwarded: IntCounterVec,
    tokens: IntCounterVec,
    first_token: HistogramVec,
    total: HistogramVec,
    queued: HistogramVec,
    in_flight: IntGauge,
    revision: IntGauge,
}

/// The labels of a request.
#[derive(Debug, Clone, Copy)]
pub struct Labels<'a> {
    /// Its class; empty if no route was found.
    pub class: &'a str,
    /// Its pool; empty if no route was found.
    pub pool: &'a str,
}

/// Counts a queued or running request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(IntGauge);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// If the registry already contains one of them.
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
            hedges: counter(
                registry,
                "router_hedges_total",
                "Second attempts beside slow ones: started, won, lost, failed, abandoned or refused.",
                &["class", "pool", "result"],
            )?,
            forwarded: counter(
                registry,
                "router_forwarded_total",
                "Requests that other routers were asked to serve.",
                &["pool", "result"],
            )?,
            tokens: counter(registry, "router_tokens_total", "Tokens received.", class_pool)?,
            first_token: time_histogram(
                registry,
                "router_first_token_seconds",
                "Time from arrival to the first token.",
            )?,
            total: time_histogram(
                registry,
                "router_whole_seconds",
                "Time from arrival to the end.",
            )?,
            queued: time_histogram(
                registry,
                "router_queued_seconds",
                "Time from arrival to a place.",
            )?,
            in_flight: gauge(
                registry,
                "router_in_flight",
                "Requests that wait or run, streams to their end.",
            )?,
            revision: gauge(registry, "router_tables_revision", "Revision of the tables.")?,
        })
    }

    /// Counts an answered request and records its total time.
    pub fn record_answer(&self, labels: Labels<'_>, outcome: Outcome, status: u16, time: Duration) {
        let (outcome, status) = (outcome.to_string(), status.to_string());
        let values = [labels.class, labels.pool, outcome.as_str(), status.as_str()];
        self.requests.with_label_values(&values).inc();
        self.total.with_label_values(&[labels.class, labels.pool]).observe(time.as_secs_f64());
    }

    /// Counts an attempt at a backend server.
    pub fn record_attempt(&self, labels: Labels<'_>, result: &str) {
        self.attempts.with_label_values(&[labels.class, labels.pool, result]).inc();
    }

    /// Counts what became of a second attempt beside a slow one.
    pub fn record_hedge(&self, labels: Labels<'_>, result: &str) {
        self.hedges.with_label_values(&[labels.class, labels.pool, result]).inc();
    }

    /// Counts a request that another router was asked to serve.
    pub fn record_forwarded(&self, pool: &str, result: &str) {
        self.forwarded.with_label_values(&[pool, result]).inc();
    }

    /// Records the time until the request was assigned a backend server.
    pub fn record_queue_time(&self, labels: Labels<'_>, time: Duration) {
        self.queued.with_label_values(&[labels.class, labels.pool]).observe(time.as_secs_f64());
    }

    /// Records the time until the first token.
    pub fn record_first_token(&self, labels: Labels<'_>, time: Duration) {
        let values = [labels.class, labels.pool];
        self.first_token.with_label_values(&values).observe(time.as_secs_f64());
    }

    /// Adds the tokens of an answer to the count.
    pub fn add_tokens(&self, labels: Labels<'_>, count: u32) {
        self.tokens.with_label_values(&[labels.class, labels.pool]).inc_by(count.into());
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_in_flight(&self) -> InFlightGuard {
        self.in_flight.inc();
        InFlightGuard(self.in_flight.clone())
    }

    /// Records the revision of the tables in force.
    pub fn set_revision(&self, revision: u64) {
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

fn time_histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
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
