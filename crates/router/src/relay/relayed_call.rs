//! One relayed request with its place at a backend server: attempts and what they prove.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use httpio::client::{Request as ClientRequest, Response};
use policy::{Execution, Failure as FailureKind, LoadReport};
use tables::{Exchange, Priority};

use crate::{
    backends::AttemptError,
    call::{Call, SchedulingHints},
    class_limits::Permit,
    deadline::{Completion, run_until_deadline},
    dialect::{Ask, AttemptNote, Dialect, NotStarted, ServerLoad},
    identity::Caller,
    outcome::{Failure, Outcome, REQUEST_ID_HEADER},
    refusals,
    routing::Routed,
    services::Services,
    silence::{Remedy, Silent, probe_on_silence},
};

/// Answers to other requests that are passed over on one connection before it is given up.
const CROSSED_ANSWERS_MAX: usize = 2;

pub(super) struct RelayedCall {
    pub(super) call: Call,
    pub(super) dialect: Rc<dyn Dialect>,
    pub(super) deadline: Instant,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Events that were passed on.
    pub(super) events: u32,
    id: HeaderValue,
}

impl RelayedCall {
    /// Waits for a place.
    ///
    /// # Errors
    /// When the request is refused, or its deadline comes first.
    pub(super) async fn dispatch(
        services: Rc<Services>,
        dialect: Rc<dyn Dialect>,
        routed: Routed,
        permit: Permit,
        ask: Ask,
    ) -> Result<RelayedCall, Failure> {
        let id: &str = routed.arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("an identity is made of plain characters");
        let patience = ask.patience.unwrap_or(Duration::MAX);
        let waits = patience.min(routed.route().deadline());
        let deadline = routed.arrival.arrived + waits;
        let left = deadline.saturating_duration_since(services.clock.now());
        let gone = routed.arrival.request.disconnected.clone();
        let hints = SchedulingHints {
            prefix_hash: ask.prompt.shared_hash(),
            max_tokens: ask.max_tokens,
            prompt: ask.prompt,
        };
        let placed = Call::dispatch(services, routed, permit, hints);
        let call = match run_until_deadline(&gone, left, placed).await {
            Completion::Done(call) => call?,
            Completion::DeadlinePassed | Completion::CallerGone => {
                return Err(refusals::deadline_passed(Outcome::NotRun));
            }
        };
        Ok(RelayedCall { call, dialect, deadline, last_event: ask.last_event, events: 0, id })
    }

    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.call.services.clock.now())
    }

    /// Whether a request that may have run may be sent again.
    pub(super) fn is_repeatable(&self) -> bool {
        !self.call.routed.is_order()
    }

    /// Makes one attempt, up to the head of its answer.
    ///
    /// # Errors
    /// What the attempt proves of the request and of the server.
    pub(super) async fn send(&mut self) -> Result<Response, AttemptError> {
        let left = self.left();
        if left.is_zero() {
            return Err(not_sent("the deadline came before the request was sent"));
        }
        self.call.begin();
        let request = Rc::clone(&self.call.routed.arrival.request);
        let label = self.call.lease.server_label();
        let note = AttemptNote {
            server: &label,
            left,
            workspace: self.workspace(),
            urgency: self.urgency(),
            last_event: self.last_event,
        };
        let outgoing = ClientRequest {
            method: request.method.clone(),
            uri: request.uri.clone(),
            headers: self.dialect.forwarded(&request.headers, &note),
            body: request.body.clone(),
        };
        let backends = self.call.services.backends.clone();
        let addr = self.call.lease.server().addr;
        let id = self.id.clone();
        let exchange = async move {
            let response = backends.exchange(addr, outgoing).await?;
            own_answer(response, &id).await
        };
        if !self.is_repeatable() {
            let response = exchange.await?;
            return self.check(response);
        }
        let silence = self.call.services.waits.first_silence();
        let answered = probe_on_silence(exchange, silence, &self.call.lease, self.remedy()).await;
        let response = answered.unwrap_or_else(|silent| Err(self.silence(silent)))?;
        self.check(response)
    }

    fn workspace(&self) -> Option<&str> {
        match &self.call.routed.caller {
            Caller::Workspace(name) => Some(name),
            Caller::Anonymous => None,
        }
    }

    /// The workspace's urgency goes before the route's.
    fn urgency(&self) -> Option<Priority> {
        let routed = &self.call.routed;
        if !routed.is_for_engine() {
            return None;
        }
        let name = routed.caller.name();
        let workspace = routed.tables.workspaces.iter().find(|it| it.name == name);
        Some(workspace.and_then(|it| it.priority).unwrap_or(routed.route().priority))
    }

    fn check(&self, response: Response) -> Result<Response, AttemptError> {
        let note = self.dialect.answer(&response.head);
        if let Some(load) = note.load {
            self.call.lease.report_load(&report(load));
        }
        if let Some(refusal) = note.refusal {
            return Err(not_started(refusal));
        }
        if response.head.status.is_success() && !note.is_signed {
            return Err(AttemptError::in_doubt("the answer bears no server's signature"));
        }
        Ok(response)
    }

    /// What could follow the silence of a server that is alive.
    pub(super) fn remedy(&self) -> Remedy {
        let can_resume = self.call.routed.route().exchange == Exchange::ResumableEvents;
        if self.events == 0 || can_resume { Remedy::Retry } else { Remedy::KeepWaiting }
    }

    /// What silence says; the idle connections may have been lost in the same way.
    pub(super) fn silence(&self, silent: Silent) -> AttemptError {
        self.call.services.backends.close_idle(self.call.lease.server().addr);
        silent.into()
    }
}

/// Passes over answers that belong to earlier requests of the connection.
async fn own_answer(mut response: Response, id: &HeaderValue) -> Result<Response, AttemptError> {
    for _ in 0..CROSSED_ANSWERS_MAX {
        let echo = response.head.headers.get(REQUEST_ID_HEADER);
        if echo.is_none_or(|it| it == id) {
            return Ok(response);
        }
        response = response.next_response().await?;
    }
    Err(AttemptError::in_doubt("the answers belong to other requests"))
}

fn not_started(refusal: NotStarted) -> AttemptError {
    let (failure, detail) = match refusal {
        NotStarted::Full => (FailureKind::Overloaded, "the backend server has no room"),
        NotStarted::OtherServer => {
            (FailureKind::ConnectRefused, "another server has the address now")
        }
        NotStarted::Refused => (FailureKind::Other, "the backend server refused the request"),
    };
    AttemptError { failure, execution: Execution::NotRun, detail: detail.to_owned() }
}

fn not_sent(detail: &str) -> AttemptError {
    let (failure, execution) = (FailureKind::Other, Execution::NotRun);
    AttemptError { failure, execution, detail: detail.to_owned() }
}

fn report(load: ServerLoad) -> LoadReport {
    LoadReport {
        incarnation: None,
        running: load.running,
        waiting: load.waiting,
        batch_max: load.slots,
        kv_used_permille: 0,
        age: Duration::ZERO,
    }
}
