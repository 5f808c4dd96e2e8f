//! One request from its queueing to its end, independent of the kind of its backend server.

mod hedged;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use httpio::Bytes;
use monoio::time;
use policy::{Execution, GiveUp, Prompt, Refusal, RequestRate, VersionHash};
use tables::Exchange;
use telemetry::TraceContext;

use crate::{
    backends::{Attempt, AttemptError},
    class_limits::Permit,
    dispatch::{DispatchRequest, Lease, RetryResult},
    fields::millis,
    fingerprint::Fingerprint,
    metrics::{InFlightGuard, Labels},
    outcome::{Code, Failure, Outcome},
    quarantine_exchange, refusals,
    routing::Routed,
    services::Services,
};

pub(crate) use self::hedged::CallSeed;

/// The number of a prompt's parts that the log names.
const LOGGED_PARTS_MAX: usize = 8;

/// A request that holds a lease of a backend server.
pub(crate) struct Call {
    pub(crate) services: Rc<Services>,
    pub(crate) routed: Routed,
    pub(crate) lease: Lease,
    /// The ID of the current attempt.
    pub(crate) id: HeaderValue,
    /// What is known about the execution of the finished attempts: the worst of their outcomes.
    pub(crate) outcome: Outcome,
    /// The urgency of the current attempt, if its server is an engine that is told one.
    pub(crate) urgency: Option<usize>,
    /// The rate limit that the server of the current attempt has named in its answer.
    pub(crate) named_limit: Option<RequestRate>,
    attempts: u32,
    /// The time from arrival to the first token.
    first_token: Option<Duration>,
    /// When the last tokens arrived.
    last_tokens: Option<Instant>,
    /// The longest time between two arrivals of tokens.
    longest_gap: Duration,
    is_attempt_in_flight: bool,
    /// Whether the current attempt began beside another one, because that was slow.
    is_hedge: bool,
    /// Whether this attempt has failed and the one beside it is in flight.
    is_hedge_in_flight: bool,
    /// Whether the request has been counted as begun by a server.
    is_metered: bool,
    span: TraceContext,
    started: Instant,
    _permit: Rc<Permit>,
    _in_flight: Rc<InFlightGuard>,
}

/// The inputs of the scheduler that do not follow from the route.
#[derive(Debug, Clone, Default)]
pub(crate) struct SchedulingHints {
    pub(crate) prefix_hash: u64,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) prompt: Prompt,
    /// If set, only servers of this software version may run the request.
    pub(crate) version: Option<VersionHash>,
}

impl Call {
    /// Waits until the scheduler assigns a backend server.
    ///
    /// # Errors
    /// If the scheduler refuses the request, the caller disconnects or the router stops.
    pub(crate) async fn dispatch(
        services: Rc<Services>,
        routed: Routed,
        permit: Permit,
        hints: SchedulingHints,
    ) -> Result<Call, Failure> {
        let in_flight = services.metrics.track_in_flight();
        let request = &routed.arrival.request;
        let target = request.uri.path_and_query().map_or("", |it| it.as_str());
        let fingerprint = Fingerprint::new(&routed.caller, target, &request.body);
        let dispatch_request = DispatchRequest {
            pool: &routed.pool().name,
            class: &routed.route().class,
            workspace: routed.caller.workspace(),
            prefix_hash: hints.prefix_hash,
            request_hash: fingerprint.0,
            max_tokens: hints.max_tokens,
            prompt: &hints.prompt,
            version: hints.version,
            prior_attempts: routed.attempts.get(),
            repeat: routed.repeat(),
        };
        let lease = {
            let lease = services.dispatcher.dispatch(dispatch_request).fuse();
            let disconnected = request.disconnected.raised().fuse();
            let stopped = services.stop.passed().fuse();
            pin_mut!(lease, disconnected, stopped);
            select_biased! {
                lease = lease => lease.map_err(|it| {
                    log_refusal(&services, &routed, fingerprint, &hints.prompt.shared_ids(), it);
                    refusals::from_refusal(it, Outcome::NotRun)
                })?,
                () = disconnected => return Err(caller_disconnected()),
                () = stopped => return Err(refusals::deadline_passed(Outcome::NotRun)),
            }
        };
        let id = services.attempt_id(&routed.arrival.id);
        let started = services.clock.now();
        let (span, outcome) = (routed.arrival.trace, Outcome::NotRun);
        let call = Call {
            services,
            routed,
            lease,
            id,
            outcome,
            urgency: None,
            named_limit: None,
            attempts: 0,
            first_token: None,
            last_tokens: None,
            longest_gap: Duration::ZERO,
            is_attempt_in_flight: false,
            is_hedge: false,
            is_hedge_in_flight: false,
            is_metered: false,
            span,
            started,
            _permit: Rc::new(permit),
            _in_flight: Rc::new(in_flight),
        };
        call.services
            .metrics
            .record_queue_time(call.labels(), started - call.routed.arrival.arrived);
        Ok(call)
    }

    pub(crate) fn labels(&self) -> Labels<'_> {
        Labels { class: &self.routed.route().class, pool: &self.routed.pool().name }
    }

    /// Records that an attempt begins at the leased server.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.is_attempt_in_flight = true;
        self.span = self.services.ids.child_span(&self.routed.arrival.trace);
        self.started = self.services.clock.now();
        self.lease.dispatched();
    }

    /// What is known about the execution of the request, including the attempt in flight.
    pub(crate) fn known_outcome(&self) -> Outcome {
        match self.is_attempt_in_flight || self.is_hedge_in_flight {
            true => self.outcome.worse(Outcome::MayHaveRun),
            false => self.outcome,
        }
    }

    /// The time until the request must be answered.
    pub(crate) fn time_left(&self) -> Duration {
        self.services.time_left(self.routed.deadline())
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&mut self) {
        let arrived = self.routed.arrival.arrived;
        let now = self.services.clock.now();
        let waited = now.saturating_duration_since(arrived);
        self.services.metrics.record_first_token(self.labels(), waited);
        self.first_token = Some(waited);
        self.last_tokens = Some(now);
        self.meter(now);
        self.lease.first_token();
    }

    /// Counts the request as begun by a server; further attempts do not count again.
    fn meter(&mut self, began: Instant) {
        let is_metered = std::mem::replace(&mut self.is_metered, true);
        if let (false, Some(name)) = (is_metered, self.routed.caller.workspace()) {
            self.services.usage.record(name, began);
        }
    }

    /// Records that `count` further tokens arrived.
    pub(crate) fn record_tokens(&mut self, count: u32) {
        let now = self.services.clock.now();
        let last = self.last_tokens.replace(now).unwrap_or(now);
        self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        self.lease.tokens(count);
    }

    /// Whether an abandoned attempt must be cancelled by a call to the engine; other servers notice
    /// that the connection is closed.
    fn needs_engine_cancel(&self) -> bool {
        self.routed.is_for_engine() && self.routed.route().exchange == Exchange::Native
    }

    /// Starts an attempt at the leased server.
    pub(crate) fn start_attempt(
        &mut self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Bytes,
    ) -> Attempt {
        self.id = self.services.attempt_id(&self.routed.arrival.id);
        self.begin_attempt();
        let (addr, id, trace) = (self.lease.server().addr, self.id.clone(), self.span);
        Attempt { addr, method, uri, id, trace, headers, body }
    }

    /// Builds a further exchange within the current attempt, such as the resume of its stream.
    pub(crate) fn follow_up(&self, method: Method, uri: Uri, body: Bytes) -> Attempt {
        let (addr, id, trace) = (self.lease.server().addr, self.id.clone(), self.span);
        Attempt { addr, method, uri, id, trace, headers: HeaderMap::new(), body }
    }

    /// Sends a command for the stream, such as `pause`, to the engine in the background.
    pub(crate) fn send_stream_command(&self, command: &str) {
        let Some(uri) = self.stream_uri(command) else { return };
        let attempt = self.follow_up(Method::POST, uri, Bytes::new());
        let (server, backends) = (attempt.addr, self.services.backends.clone());
        let command = async move {
            // If the engine does not support the command, the stream just continues.
            if let Ok(response) = backends.send(attempt).await {
                let _ = response.body.collect().await;
            }
        };
        monoio::spawn(telemetry::contain("stream_command", server, command));
    }

    /// Fetches the engine's KV cache of the stream, to be stored while the stream is paused.
    pub(crate) async fn export_kv(&self) -> Option<Bytes> {
        let uri = format!("/v1/kv/{}", self.id.to_str().ok()?).parse().ok()?;
        let attempt = self.follow_up(Method::GET, uri, Bytes::new());
        let exported = async {
            let response = self.services.backends.send(attempt).await.ok()?;
            let is_found = response.head.status.is_success();
            response.body.collect().await.ok().filter(|_| is_found)
        };
        time::timeout(self.services.timeouts.engine_call_timeout(), exported).await.ok()?
    }

    /// Sends a stored KV cache back to the engine; returns whether the engine accepted it.
    pub(crate) async fn import_kv(&self, kv: Option<Bytes>) -> bool {
        let Some(kv) = kv else { return false };
        let attempt = self.follow_up(Method::POST, Uri::from_static("/v1/kv"), kv);
        let imported = self.services.backends.send_fresh(attempt);
        let imported = time::timeout(self.services.timeouts.engine_call_timeout(), imported).await;
        matches!(imported, Ok(Ok(response)) if response.head.status.is_success())
    }

    /// The URI of a command for the stream.
    pub(crate) fn stream_uri(&self, command: &str) -> Option<Uri> {
        format!("/v1/streams/{}/{command}", self.id.to_str().ok()?).parse().ok()
    }

    /// Reports a failed attempt and waits until the scheduler assigns a server for the next one.
    ///
    /// # Errors
    /// If the request is not retried; the error is the answer to the caller.
    pub(crate) async fn retry(&mut self, error: AttemptError) -> Result<(), Failure> {
        self.log_attempt("failed", Some(&error));
        self.record_failed(&error);
        self.is_hedge = false;
        if error.execution != Execution::NotRun && self.needs_engine_cancel() {
            self.services.backends.cancel(self.lease.server().addr, &self.id);
        }
        let report = self.lease.report_failure(error.failure, error.execution).await;
        if report.has_crashed {
            let announced = quarantine_exchange::announce_crash(Rc::clone(&self.services));
            let server = self.lease.server().addr;
            match report.is_retried() {
                true => drop(monoio::spawn(telemetry::contain("announcement", server, announced))),
                false => announced.await,
            }
        }
        match self.lease.wait_for_retry(report).await {
            RetryResult::Placed => Ok(()),
            RetryResult::GivenUp { reason, retry_after } => {
                let failure = refusals::from_give_up(reason, &error, self.outcome);
                Err(match reason {
                    GiveUp::Quarantined | GiveUp::NotRetryable => failure,
                    _ => failure.retry_after(retry_after),
                })
            }
            RetryResult::Refused(refusal) => {
                let (fingerprint, parts) = (self.lease.fingerprint(), self.lease.shared_parts());
                log_refusal(&self.services, &self.routed, fingerprint, &parts, refusal);
                Err(refusals::from_refusal(refusal, self.outcome))
            }
        }
    }

    /// Ends the call after the complete answer arrived.
    pub(crate) fn finish(mut self, tokens: u32) {
        self.meter(self.started);
        self.log_attempt("whole", None);
        self.services.metrics.add_tokens(self.labels(), tokens);
        self.lease.finished(tokens);
    }

    /// Ends the call after a failed attempt that cannot be retried.
    pub(crate) async fn give_up(self, error: &AttemptError) {
        self.log_attempt("failed", Some(error));
        if self.lease.failed(error.failure, error.execution).await {
            quarantine_exchange::announce_crash(self.services).await;
        }
    }

    /// Ends the call because the caller no longer waits for the answer.
    pub(crate) fn abandon(self) {
        if self.is_attempt_in_flight {
            self.log_attempt("abandoned", None);
        }
        if self.attempts > 0 && self.needs_engine_cancel() {
            self.services.backends.cancel(self.lease.server().addr, &self.id);
        }
    }

    fn log_attempt(&self, result: &str, error: Option<&AttemptError>) {
        self.services.metrics.record_attempt(self.labels(), result);
        let queued = self.started.saturating_duration_since(self.routed.arrival.arrived);
        let estimate = self.lease.placement_estimate();
        tracing::info!(
            event = "attempt",
            trace_id = %self.span.trace_id,
            span_id = %self.span.span_id,
            parent_id = %self.routed.arrival.trace.span_id,
            request_id = %self.routed.arrival.id,
            class = %self.routed.route().class,
            server = %self.lease.server().addr,
            software_version = &*self.lease.software_version(),
            fingerprint = %self.lease.fingerprint(),
            shared_parts = logged_parts(&self.lease.shared_parts()),
            number = self.attempts,
            hedge = self.is_hedge.then_some(true),
            queued_ms = millis(queued),
            urgency = self.urgency,
            named_limit_per_s = self.named_limit.map(RequestRate::per_second),
            home_rank = estimate.and_then(|it| it.home_rank),
            prefill_tokens = estimate.map(|it| it.prefill_tokens),
            queued_tokens = estimate.map(|it| it.queued_tokens),
            server_requests = estimate.map(|it| it.server_requests),
            first_ms = self.first_token.map(millis),
            pause_ms = self.first_token.map(|_| millis(self.longest_gap)),
            took_ms = millis(self.services.clock.now().saturating_duration_since(self.started)),
            result,
            failure = error.map(|it| tracing::field::debug(it.failure)),
            detail = error.map_or("", |it| &it.detail),
        );
    }
}

/// The ids of the parts of a prompt as text, separated by commas; `None` if there are none.
fn logged_parts(parts: &[u64]) -> Option<String> {
    let named = parts.iter().take(LOGGED_PARTS_MAX).map(|it| format!("{it:x}"));
    (!parts.is_empty()).then(|| named.collect::<Vec<_>>().join(","))
}

/// Logs a refusal with the inputs of the decision.
fn log_refusal(
    services: &Services,
    routed: &Routed,
    fingerprint: Fingerprint,
    shared_parts: &[u64],
    refusal: Refusal,
) {
    let (pool, class) = (&routed.pool().name, &routed.route().class);
    let queue = services.dispatcher.queue_snapshot(pool, class);
    tracing::info!(
        event = "refused",
        request_id = %routed.arrival.id,
        class,
        pool,
        reason = ?refusal.reason,
        %fingerprint,
        shared_parts = logged_parts(shared_parts),
        retry_after_ms = millis(refusal.retry_after),
        waiting = queue.waiting,
        tokens_ahead = queue.tokens_ahead,
        usable_servers = queue.usable_servers,
        free_slots = queue.free_slots,
        tokens_per_second = queue.tokens_per_second,
        wait_ms = queue.wait.map(millis),
    );
}

/// The caller does not receive this reply, but the order ledger and the log use its outcome.
fn caller_disconnected() -> Failure {
    let message = "the caller went away while the request waited";
    Failure::not_run(StatusCode::REQUEST_TIMEOUT, Code::CallerGone, message)
}
