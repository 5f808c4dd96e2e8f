//! Sends a plan open loop and records the reply to each request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use derive_more::{Display, Error};
use futures::future::join_all;
use monoio::time;

use crate::{
    caller::{Call, Caller, Reply},
    loopback::LoopbackAddr,
    plan::{Arrival, ArrivalId, Attempt, Plan, PlanSettings},
    record::{Ending, Outcome, RequestRecord},
};

/// The limits of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerSettings {
    /// The maximum number of requests in flight. An arrival above it is recorded as broken instead
    /// of being delayed.
    pub in_flight_max: usize,
    /// Arrivals planned later than this many milliseconds are not sent.
    pub time_limit_ms: u64,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        RunnerSettings { in_flight_max: 4_000, time_limit_ms: 300_000 }
    }
}

/// The reason why a run cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RunFault {
    /// The list of routers is empty.
    #[display("no router address given; give at least one")]
    NoRouter,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// One record per request, in the order of the plan.
    pub records: Vec<RequestRecord>,
    /// The time from the start of the run to the end of the last reply.
    pub duration: Duration,
}

/// Sends `plan` to `routers` round robin, and waits for every reply.
///
/// # Errors
///
/// [`RunFault::NoRouter`] if `routers` is empty.
pub async fn run(
    settings: RunnerSettings,
    plan_settings: &PlanSettings,
    plan: &Plan,
    routers: &[LoopbackAddr],
    caller: &Caller,
    clock: Rc<dyn Clock>,
) -> Result<RunResult, RunFault> {
    if routers.is_empty() {
        return Err(RunFault::NoRouter);
    }
    let start = clock.now();
    let sender = Rc::new(Sender {
        settings,
        caller: caller.clone(),
        clock: Rc::clone(&clock),
        start,
        in_flight: Cell::new(0),
        records: RefCell::default(),
    });
    let mut tasks = Vec::new();
    let limit = Duration::from_millis(settings.time_limit_ms);
    for arrival in plan.arrivals.iter().take_while(|it| it.at() <= limit) {
        time::sleep((start + arrival.at()).saturating_duration_since(clock.now())).await;
        let call = to_call(plan_settings, arrival);
        let router = routers[router_idx(arrival, routers.len())];
        let sender = Rc::clone(&sender);
        let arrival = arrival.clone();
        tasks.push(monoio::spawn(async move { sender.send(&arrival, &call, router).await }));
    }
    join_all(tasks).await;

    let mut records = sender.records.take();
    records.sort_by_key(|it| it.arrival);
    Ok(RunResult { records, duration: clock.now().saturating_duration_since(start) })
}

/// Selects the router round robin. A resend goes to the router after the one of its first attempt,
/// as if the load balancer had chosen another router.
fn router_idx(arrival: &Arrival, routers: usize) -> usize {
    let ordinal = match arrival.attempt {
        Attempt::First => arrival.id.0,
        Attempt::Resend(ArrivalId(first)) => first + 1,
    };
    ordinal as usize % routers
}

fn to_call(settings: &PlanSettings, arrival: &Arrival) -> Call {
    let class = &settings.classes[arrival.class.0];
    Call {
        class: class.name.clone(),
        kind: class.kind,
        token: settings.workspaces.tokens[arrival.workspace.0].clone(),
        request_id: format!("{}-{}", settings.run_name, arrival.id),
        idempotency_key: arrival.idempotency_key.clone(),
        model: class.model.clone(),
        prompt: arrival.prompt.clone(),
        max_tokens: arrival.max_tokens,
        answer: class.answer,
    }
}

struct Sender {
    settings: RunnerSettings,
    caller: Caller,
    clock: Rc<dyn Clock>,
    start: Instant,
    in_flight: Cell<usize>,
    records: RefCell<Vec<RequestRecord>>,
}

impl Sender {
    async fn send(&self, arrival: &Arrival, call: &Call, router: LoopbackAddr) {
        let planned_at = self.start + arrival.at();
        let sent_at = self.clock.now();
        let reply = if self.in_flight.get() >= self.settings.in_flight_max {
            reply_not_sent(sent_at)
        } else {
            self.in_flight.set(self.in_flight.get() + 1);
            let reply = self.caller.send(router, call).await;
            self.in_flight.set(self.in_flight.get() - 1);
            reply
        };
        let record = record(arrival, call, &reply, planned_at, sent_at);
        self.records.borrow_mut().push(record);
    }
}

fn reply_not_sent(now: Instant) -> Reply {
    Reply {
        status: None,
        outcome: Outcome::Unstated,
        ending: Ending::Broken("the load tool has too many requests in flight".to_owned()),
        first_token_at: None,
        ended_at: now,
        tokens: 0,
        text: String::new(),
        answer_fault: None,
        retry_after_s: None,
    }
}

fn record(
    arrival: &Arrival,
    call: &Call,
    reply: &Reply,
    planned_at: Instant,
    sent_at: Instant,
) -> RequestRecord {
    let since_planned_us =
        |at: Instant| at.saturating_duration_since(planned_at).as_micros() as u64;
    RequestRecord {
        arrival: arrival.id,
        class: arrival.class,
        kind: call.kind,
        answer: call.answer,
        attempt: arrival.attempt,
        idempotency_key: call.idempotency_key.clone(),
        request_id: call.request_id.clone(),
        at_us: arrival.at_us,
        send_lag_us: since_planned_us(sent_at),
        first_token_us: reply.first_token_at.map(since_planned_us),
        whole_us: reply.status.map(|_| since_planned_us(reply.ended_at)),
        tokens: reply.tokens,
        outcome: reply.outcome,
        ending: reply.ending.clone(),
        answer_fault: reply.answer_fault,
        retry_after_s: reply.retry_after_s,
    }
}
