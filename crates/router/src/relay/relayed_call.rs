//! One relayed request with its lease of a backend server: its attempts and what they prove.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use httpio::client::{Request as ClientRequest, Response};
use policy::{Execution, Failure as FailureKind, FragileAnswer, LoadReport, VersionHash};
use tables::Exchange;

use crate::{
    backends::{AttemptError, unnamed_answer},
    call::{Call, SchedulingHints},
    class_limits::Permit,
    deadline::{Completion, run_until_deadline},
    dialect::{
        AnswerMetadata, AttemptMetadata, Dialect, NotStarted, RateLimitNotice, RequestMetadata,
        ServerLoad,
    },
    outcome::{Failure, Outcome, REQUEST_ID_HEADER},
    refusals,
    routing::Routed,
    services::Services,
    silence::{Remedy, Silent, probe_on_silence},
    stream_origins::REPORT_INTERVAL,
};

/// The number of answers to other requests that are skipped before the connection is abandoned.
const MISMATCHED_ANSWERS_MAX: usize = 2;

/// A relayed request that holds a lease of a backend server.
pub(super) struct RelayedCall {
    pub(super) call: Call,
    pub(super) dialect: Rc<dyn Dialect>,
    pub(super) deadline: Instant,
    /// The ID of the last event that the caller received.
    pub(super) last_event: Option<u64>,
    /// The number of relayed events.
    pub(super) events: u32,
    /// The ID of the request that began the stream, if the caller has taken it up.
    pub(super) resumed_request: Option<String>,
    /// When the beginning of the stream was reported last.
    pub(super) reported_at: Option<Instant>,
    pub(super) id: HeaderValue,
}

impl RelayedCall {
    /// Waits until the scheduler assigns a backend server.
    ///
    /// # Errors
    /// If the request is refused or its deadline passes first.
    pub(super) async fn dispatch(
        services: Rc<Services>,
        dialect: Rc<dyn Dialect>,
        routed: Routed,
        permit: Permit,
        metadata: RequestMetadata,
        version: Option<VersionHash>,
    ) -> Result<RelayedCall, Failure> {
        let id: &str = routed.arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("a request ID is a valid header value");
        let caller_timeout = metadata.timeout.unwrap_or(Duration::MAX);
        let timeout = caller_timeout.min(routed.route().deadline());
        let deadline = routed.arrival.arrived + timeout;
        let (stop, left) = (services.stop.clone(), services.time_left(deadline));
        let disconnected = routed.arrival.request.disconnected.clone();
        let hints = SchedulingHints {
            prefix_hash: metadata.prompt.shared_hash(),
            max_tokens: metadata.max_tokens,
            prompt: metadata.prompt,
            version,
        };
        let dispatched = Call::dispatch(services, routed, permit, hints);
        let call = match run_until_deadline(&disconnected, &stop, left, dispatched).await {
            Completion::Done(call) => call?,
            Completion::DeadlinePassed | Completion::CallerDisconnected => {
                return Err(refusals::deadline_passed(Outcome::NotRun));
            }
        };
        Ok(RelayedCall {
            call,
            dialect,
            deadline,
            last_event: metadata.last_event,
            events: 0,
            resumed_request: metadata.resumed_request,
            reported_at: None,
            id,
        })
    }

    pub(super) fn time_left(&self) -> Duration {
        self.call.services.time_left(self.deadline)
    }

    /// Whether the request may be resent after an attempt that may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        !self.call.routed.is_order()
    }

    /// Whether its stream may go on at another server.
    pub(super) fn is_resumable(&self) -> bool {
        self.call.routed.route().exchange == Exchange::ResumableEvents
    }

    /// Makes one attempt and waits for the head of its answer.
    ///
    /// # Errors
    /// If the attempt fails, with what it proves about the request and the server.
    pub(super) async fn send(&mut self) -> Result<Response, AttemptError> {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(not_sent("the deadline came before the request was sent"));
        }
        self.call.begin_attempt();
        self.call.urgency = self.call.services.urgency.rank(&self.call.routed);
        self.call.named_limit = None;
        let request = Rc::clone(&self.call.routed.arrival.request);
        let label = self.call.lease.server_label();
        let attempt = AttemptMetadata {
            server: &label,
            time_left,
            workspace: self.call.routed.caller.workspace(),
            urgency: self.call.urgency,
            last_event: self.last_event,
        };
        let outgoing = ClientRequest {
            method: request.method.clone(),
            uri: request.uri.clone(),
            headers: self.dialect.attempt_headers(&request.headers, &attempt),
            body: request.body.clone(),
        };
        let backends = self.call.services.backends.clone();
        let addr = self.call.lease.server().addr;
        let id = self.id.clone();
        // A server echoes the ID that it received.
        let is_named = outgoing.headers.contains_key(REQUEST_ID_HEADER);
        let exchange = async move {
            let response = backends.exchange(addr, outgoing).await?;
            matching_answer(response, &id, is_named).await
        };
        if !self.is_repeatable() {
            let response = exchange.await?;
            return self.check_response(response);
        }
        let silence = self.call.services.timeouts.first_silence();
        let answered = probe_on_silence(exchange, silence, &self.call.lease, self.remedy()).await;
        let response = answered.unwrap_or_else(|silent| Err(self.silence_error(silent)))?;
        self.check_response(response)
    }

    fn check_response(&mut self, response: Response) -> Result<Response, AttemptError> {
        self.call.lease.heard();
        let answer = self.dialect.read_answer(&response.head);
        if answer.refusal.is_some() && !response.head.headers.contains_key(REQUEST_ID_HEADER) {
            // It may be a copy of an earlier refusal, while the server runs this request.
            return Err(AttemptError::in_doubt("a refusal names no request"));
        }
        self.record_rate_limit(&answer);
        if answer.is_leaving {
            self.call.lease.report_leaving();
        }
        if let Some(pause) = answer.pause {
            self.call.lease.report_pause(pause);
        }
        if let Some(load) = answer.load {
            self.call.lease.report_load(&load_report(load));
        }
        if let Some(refusal) = answer.refusal {
            return Err(not_started(refusal));
        }
        if response.head.status.is_success() && !answer.is_signed {
            return Err(AttemptError::in_doubt("the answer bears no server's signature"));
        }
        Ok(response)
    }

    fn record_rate_limit(&mut self, answer: &AnswerMetadata) {
        if answer.refusal == Some(NotStarted::OtherServer) {
            return;
        }
        let named = match answer.rate_limit {
            RateLimitNotice::Limited(rate) => Some(rate),
            RateLimitNotice::Unlimited | RateLimitNotice::Unreadable => None,
        };
        self.call.named_limit = named;
        let lease = &self.call.lease;
        match (answer.rejections_max, answer.rate_limit) {
            (Some(rejections_max), _) => {
                let is_rejection = answer.refusal == Some(NotStarted::Full);
                lease.report_fragile(FragileAnswer { rejections_max, is_rejection, named });
            }
            (None, RateLimitNotice::Limited(rate)) => lease.report_rate_limit(Some(rate)),
            (None, RateLimitNotice::Unlimited) if answer.is_signed => lease.report_rate_limit(None),
            // What is known of the server's limit still holds.
            (None, RateLimitNotice::Unlimited | RateLimitNotice::Unreadable) => {}
        }
    }

    /// Keeps a stream of which the caller receives an event at the software version of its server, and
    /// reports that version, so that the caller can take the stream up at any router.
    pub(super) fn record_origin(&mut self) {
        let now = self.call.services.clock.now();
        let is_reported = self.reported_at.is_some_and(|it| now < it + REPORT_INTERVAL);
        if is_reported || !self.is_resumable() {
            return;
        }
        self.reported_at = Some(now);
        let begun_by =
            self.resumed_request.as_deref().unwrap_or(self.call.routed.arrival.id.as_ref());
        if let Some(version) = self.call.lease.pin_version() {
            self.call.services.streams.record(begun_by, version);
        }
    }

    /// What can be done if a server that is alive falls silent.
    pub(super) fn remedy(&self) -> Remedy {
        if self.events == 0 || self.is_resumable() { Remedy::Retry } else { Remedy::KeepWaiting }
    }

    /// The error of a silent attempt. Closes the idle connections too, as they may be broken in the
    /// same way.
    pub(super) fn silence_error(&self, silent: Silent) -> AttemptError {
        self.call.services.backends.close_idle(self.call.lease.server().addr);
        silent.into()
    }
}

/// Skips answers that belong to earlier requests of the connection. If the request is named, an answer that
/// names none may belong to any request of a connection that carried others.
async fn matching_answer(
    mut response: Response,
    id: &HeaderValue,
    is_named: bool,
) -> Result<Response, AttemptError> {
    let mut carried_others = response.is_on_kept_connection() && is_named;
    for _ in 0..MISMATCHED_ANSWERS_MAX {
        match response.head.headers.get(REQUEST_ID_HEADER) {
            Some(echo) if echo == id => return Ok(response),
            None if carried_others => return Err(unnamed_answer()),
            None => {
                // Nothing would tell a late copy of this answer from the next one.
                response.close_afterwards();
                return Ok(response);
            }
            Some(_) => {}
        }
        carried_others = true;
        response = response.next_response().await?;
    }
    Err(AttemptError::in_doubt("the answers belong to other requests"))
}

fn not_started(refusal: NotStarted) -> AttemptError {
    let (failure, detail) = match refusal {
        NotStarted::Full => (FailureKind::Overloaded, "the backend server has no room"),
        NotStarted::OtherServer => (FailureKind::Replaced, "another server has the address now"),
        NotStarted::Refused => (FailureKind::Other, "the backend server refused the request"),
    };
    AttemptError { failure, execution: Execution::NotRun, detail: detail.to_owned() }
}

fn not_sent(detail: &str) -> AttemptError {
    let (failure, execution) = (FailureKind::Other, Execution::NotRun);
    AttemptError { failure, execution, detail: detail.to_owned() }
}

fn load_report(load: ServerLoad) -> LoadReport {
    LoadReport {
        incarnation: None,
        running: load.running,
        waiting: load.waiting,
        batch_max: load.slots,
        kv_used_permille: 0,
        age: Duration::ZERO,
    }
}
