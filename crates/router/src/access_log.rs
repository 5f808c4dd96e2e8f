//! The access log: one log line and one count for each answered request.

use std::{rc::Rc, time::Duration};

use crate::{
    arrival::Arrival, fields::millis, forwarding::Origin, metrics::Labels, outcome::Outcome,
    routing::Routed, services::Services,
};

/// What is known about a request before it is answered.
pub(crate) struct AccessRecord {
    pub(crate) arrival: Arrival,
    pub(crate) route: Option<Routed>,
    /// The router that forwarded the request, if one did.
    pub(crate) forwarded_by: Option<Rc<str>>,
}

/// How a request was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerSummary<'a> {
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    /// Why the request failed; empty if it succeeded.
    pub(crate) detail: &'a str,
}

impl AccessRecord {
    pub(crate) fn new(arrival: &Arrival, origin: &Origin) -> AccessRecord {
        let forwarded_by = origin.router();
        AccessRecord { arrival: arrival.clone(), route: None, forwarded_by }
    }

    /// Counts and logs the answer.
    pub(crate) fn log_answer(&self, services: &Services, answer: AnswerSummary<'_>) {
        let AccessRecord { arrival, route, forwarded_by } = self;
        let labels = match route {
            Some(routed) => Labels { class: &routed.route().class, pool: &routed.pool().name },
            None => Labels { class: "", pool: "" },
        };
        let took: Duration = services.clock.now().saturating_duration_since(arrival.arrived);
        let AnswerSummary { status, outcome, detail } = answer;
        services.metrics.record_answer(labels, outcome, status, took);
        tracing::info!(
            event = "request",
            trace_id = %arrival.trace.trace_id,
            span_id = %arrival.trace.span_id,
            request_id = %arrival.id,
            class = labels.class,
            pool = labels.pool,
            workspace = route.as_ref().map_or("", |it| it.caller.name()),
            revision = route.as_ref().map_or(0, |it| it.tables.revision.0),
            status,
            outcome = %outcome,
            took_ms = millis(took),
            forwarded_by = forwarded_by.as_deref(),
            detail,
        );
    }
}
