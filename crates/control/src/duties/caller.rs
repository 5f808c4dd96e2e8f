//! Calls to the platform under a fencing token.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ::duties::{CallResult, Holder, HolderAction, HolderSettings, Subject};
use clock::Clock;
use consensus::Term;
use control_state::{Command, Response, decode_response, encode_command};
use httpio::{
    Limits,
    client::{Pool, PoolSettings, Request},
};
use monoio::time;
use rpc::SubmitResult;

use super::{DutyApi, DutyCredentials, DutyMetrics, DutyParts};
use crate::replica::Replica;

/// The time that the platform has for an answer. It may be slow, and a call without an answer costs a new token.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of the confirmation that the state here is the newest.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes the calls of this VM while it holds the duties.
pub(crate) struct DutyCaller {
    vm: String,
    replica: Rc<Replica>,
    api: Rc<dyn DutyApi>,
    platform: SocketAddr,
    pool: Pool,
    holder: RefCell<Holder>,
    is_acquiring: Cell<bool>,
    /// The term in which this VM was last seen to lead.
    led_term: Cell<Option<Term>>,
    metrics: DutyMetrics,
    clock: Rc<dyn Clock>,
}

impl DutyCaller {
    pub(crate) fn new(parts: &DutyParts, metrics: DutyMetrics) -> DutyCaller {
        let answer_ms = ANSWER_TIMEOUT.as_millis() as u64;
        let limits = Limits {
            connect_timeout_ms: answer_ms,
            head_timeout_ms: answer_ms,
            idle_timeout_ms: answer_ms,
            ..Limits::default()
        };
        let settings = PoolSettings { limits, ..PoolSettings::default() };
        DutyCaller {
            vm: parts.settings.vm.clone(),
            replica: Rc::clone(&parts.replica),
            api: Rc::clone(&parts.api),
            platform: parts.platform,
            pool: Pool::new(settings, Rc::clone(&parts.clock)),
            holder: RefCell::new(Holder::new(HolderSettings { lease: parts.settings.lease })),
            is_acquiring: Cell::new(false),
            led_term: Cell::new(None),
            metrics,
            clock: Rc::clone(&parts.clock),
        }
    }

    /// The metrics of the duties.
    pub(crate) fn metrics(&self) -> &DutyMetrics {
        &self.metrics
    }

    /// The term in which this VM leads the log. If it does not, or another one may have led since its last
    /// call, it gives up its token.
    pub(crate) fn led_term(&self) -> Option<Term> {
        let status = self.replica.status();
        let term = (!status.lease_left.is_zero()).then_some(status.term);
        let mut holder = self.holder.borrow_mut();
        if self.led_term.replace(term) != term || term.is_none() {
            holder.lost();
        }
        self.metrics.is_holder.set(i64::from(holder.token().is_some()));
        term
    }

    /// Whether this VM leads the log.
    pub(crate) fn leads(&self) -> bool {
        self.led_term().is_some()
    }

    /// Acquires a token if this VM leads and has none, so that the wait after another holder begins early;
    /// returns whether it may call the platform now.
    pub(crate) async fn is_ready(&self, subject: &Subject) -> bool {
        if self.holder.borrow().token().is_none() && self.acquire().await.is_none() {
            return false;
        }
        let action = self.holder.borrow().next(self.clock.now(), subject);
        !matches!(action, HolderAction::Wait(_))
    }

    /// Makes a call if this VM may make it now.
    pub(crate) async fn call(
        &self,
        subject: &Subject,
        request: impl Fn(&dyn DutyApi, DutyCredentials<'_>) -> Request,
    ) -> Option<CallResult> {
        let token = self.token(subject).await?;
        let request = request(&*self.api, DutyCredentials { holder: &self.vm, token });
        // The token was awaited, and the lease may have ended meanwhile.
        if !self.leads() || !self.holder.borrow().holds(token) {
            return None;
        }
        let result = self.send(request).await;
        self.metrics.record_call(result);
        self.holder.borrow_mut().ended(subject, token, result);
        tracing::info!(event = "duty_call", ?subject, token, ?result);
        Some(result)
    }

    async fn send(&self, request: Request) -> CallResult {
        let sent = self.pool.send(self.platform, request);
        match time::timeout(ANSWER_TIMEOUT, sent).await {
            Ok(Ok(response)) => {
                let status = response.head.status;
                // The connection is kept only if the answer is read to its end.
                if let Err(error) = response.body.collect().await {
                    tracing::debug!(event = "duty_answer_cut", %error);
                }
                self.api.read_status(status)
            }
            Ok(Err(error)) => {
                tracing::info!(event = "duty_call_failed", %error);
                CallResult::Unanswered
            }
            Err(_) => {
                self.pool.close_idle(self.platform);
                CallResult::Unanswered
            }
        }
    }

    /// The token for a call, which is acquired first if there is none.
    async fn token(&self, subject: &Subject) -> Option<u64> {
        loop {
            let action = self.holder.borrow().next(self.clock.now(), subject);
            match action {
                HolderAction::Call(token) => return Some(token),
                HolderAction::AcquireToken => self.acquire().await?,
                HolderAction::Wait(_) => return None,
            }
        }
    }

    async fn acquire(&self) -> Option<()> {
        if self.is_acquiring.replace(true) {
            return None;
        }
        let acquired = self.acquire_token().await;
        self.is_acquiring.set(false);
        acquired
    }

    async fn acquire_token(&self) -> Option<()> {
        // The VM that held the duties before is known once all committed entries are applied.
        if !self.replica.confirm(CONFIRM_TIMEOUT).await || !self.leads() {
            return None;
        }
        let former = self.replica.fencing_holder();
        let is_handover = !former.is_empty() && former != self.vm;
        let command = Command::AcquireFencing { holder: self.vm.clone() };
        let token = match self.submit(&command).await? {
            Response::Fencing(token) => token.0,
            other => {
                tracing::warn!(event = "duty_token_refused", answer = ?other);
                return None;
            }
        };
        let now: Instant = self.clock.now();
        if !self.leads() {
            return None;
        }
        self.holder.borrow_mut().acquired(now, token, is_handover);
        tracing::info!(event = "duty_token", token, former, is_handover);
        Some(())
    }

    /// Submits a command of this holder to the log.
    pub(crate) async fn submit(&self, command: &Command) -> Option<Response> {
        match self.replica.propose(encode_command(command)).await {
            SubmitResult::Response(bytes) => match decode_response(&bytes) {
                Ok(response) => Some(response),
                Err(error) => {
                    tracing::warn!(event = "duty_response_unreadable", %error);
                    None
                }
            },
            SubmitResult::Refused(reason) | SubmitResult::InDoubt(reason) => {
                tracing::info!(event = "duty_command_failed", reason);
                None
            }
        }
    }
}
