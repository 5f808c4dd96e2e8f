//! The metrics of the duties on the admin listener.

use ::duties::CallResult;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counts what this VM has done for the duties.
#[derive(Debug, Clone)]
pub(crate) struct DutyMetrics {
    /// 1 while this VM holds the duties.
    pub(crate) is_holder: IntGauge,
    pub(crate) windows_settled: IntCounter,
    pub(crate) windows_reported: IntCounter,
    /// Those of the reported ones that were accepted after their due time.
    pub(crate) windows_late: IntCounter,
    pub(crate) windows_missed: IntCounter,
    /// Requests that this VM learned of after their window was settled.
    pub(crate) late_requests: IntCounter,
    calls: IntCounterVec,
}

impl DutyMetrics {
    /// Adds the metrics to `registry`.
    pub(crate) fn register(registry: &Registry) -> anyhow::Result<DutyMetrics> {
        let counter = |name: &str, help: &str| -> anyhow::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let is_holder =
            IntGauge::new("control_duty_holder", "1 while this VM holds the deployment's duties.")?;
        registry.register(Box::new(is_holder.clone()))?;
        let opts = Opts::new("control_duty_calls_total", "Calls to the platform, by result.");
        let calls = IntCounterVec::new(opts, &["result"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(DutyMetrics {
            is_holder,
            windows_settled: counter(
                "control_usage_windows_settled_total",
                "Windows of usage settled in the log by this VM.",
            )?,
            windows_reported: counter(
                "control_usage_windows_reported_total",
                "Reports of usage from this VM that the platform accepted.",
            )?,
            windows_late: counter(
                "control_usage_windows_late_total",
                "Reports of usage from this VM that were accepted after their due time.",
            )?,
            windows_missed: counter(
                "control_usage_windows_missed_total",
                "Windows of usage that this VM gave up.",
            )?,
            late_requests: counter(
                "control_usage_late_requests_total",
                "Requests that are missing in reports since their counts came after the settlement.",
            )?,
            calls,
        })
    }

    /// Counts a call.
    pub(crate) fn record_call(&self, result: CallResult) {
        let result = match result {
            CallResult::Accepted => "accepted",
            CallResult::Conflict => "conflict",
            CallResult::Busy => "busy",
            CallResult::Unanswered => "unanswered",
        };
        self.calls.with_label_values(&[result]).inc();
    }
}
