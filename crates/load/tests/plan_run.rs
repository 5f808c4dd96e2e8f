//! Runs a plan against fake routers: every arrival is sent, checked and recorded.

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use clock::SystemClock;
use engine_model::answer;
use expect_test::expect;
use httpio::{
    StatusCode,
    client::{Pool, PoolSettings},
    server::{Reply, Request},
    sse,
};
use load::{
    caller::{Caller, CallerSettings},
    loopback::LoopbackAddr,
    plan::{ClassSettings, Plan, PlanSettings, RequestKind, WorkspaceSettings},
    report::{Report, StandinCounts},
    runner::{self, RunFault, RunResult, RunnerSettings},
    standin_counts::{self, Standins},
};
use serde_json::json;
use support::{
    block_on, chat_request, ready, serve_handler, stream_reply, token_events, whole_reply,
};

fn settings() -> PlanSettings {
    let order = ClassSettings {
        name: "order".to_owned(),
        kind: RequestKind::Order,
        resend_permille: 500,
        resend_after_ms: 5,
        ..ClassSettings::default()
    };
    let lookup = ClassSettings {
        name: "lookup".to_owned(),
        kind: RequestKind::Lookup,
        ..ClassSettings::default()
    };
    PlanSettings {
        duration_ms: 300,
        rate_per_s: 200.0,
        classes: vec![ClassSettings::default(), order, lookup],
        workspaces: WorkspaceSettings { tokens: vec!["a".to_owned(), "b".to_owned()], skew: 0.0 },
        ..PlanSettings::default()
    }
}

/// Answers every request correctly and counts the executions of each order.
#[derive(Default)]
struct FakeRouter {
    executions: RefCell<BTreeMap<String, u64>>,
    requests: Cell<u64>,
}

impl FakeRouter {
    fn start(self: &Rc<Self>) -> LoopbackAddr {
        let this = Rc::clone(self);
        serve_handler(move |request| ready(this.reply(&request)))
    }

    fn reply(&self, request: &Request) -> Reply {
        self.requests.set(self.requests.get() + 1);
        let path = request.uri.path();
        if let Some(name) = path.strip_prefix("/lookup/") {
            return whole_reply(
                request,
                StatusCode::OK,
                "ran",
                json!({ "name": name, "value": "v" }),
            );
        }
        match path {
            "/orders" => self.execute(request),
            "/orders/count" => self.count(request),
            "/stats" => {
                whole_reply(request, StatusCode::OK, "ran", json!({ "tokens_generated": 7 }))
            }
            _ => chat(request),
        }
    }

    fn execute(&self, request: &Request) -> Reply {
        let key = request.header("idempotency-key").expect("orders have keys");
        *self.executions.borrow_mut().entry(key.to_owned()).or_default() += 1;
        whole_reply(request, StatusCode::OK, "ran", json!({ "order": 1, "key": key, "count": 1 }))
    }

    fn count(&self, request: &Request) -> Reply {
        let key = request.uri.query().and_then(|it| it.strip_prefix("key=")).expect("a key");
        let count = self.executions.borrow().get(key).copied().unwrap_or_default();
        whole_reply(request, StatusCode::OK, "ran", json!({ "count": count }))
    }
}

fn chat(request: &Request) -> Reply {
    let chat_request = chat_request(request);
    let tokens = answer::tokens(&chat_request.model, &chat_request.prompt, chat_request.max_tokens);
    stream_reply(request, [token_events(&tokens), vec![sse::data_event("[DONE]")]].concat())
}

async fn run(routers: &[LoopbackAddr], plan: &Plan) -> Result<RunResult, RunFault> {
    let caller = Caller::new(CallerSettings::default());
    let clock = Rc::new(SystemClock);
    runner::run(RunnerSettings::default(), &settings(), plan, routers, &caller, clock).await
}

#[test]
fn every_arrival_recorded() {
    let plan = Plan::generate(&settings()).expect("valid settings");
    let (first, second) = (Rc::<FakeRouter>::default(), Rc::<FakeRouter>::default());
    let result = block_on(async { run(&[first.start(), second.start()], &plan).await });
    let result = result.expect("two routers");

    let sent: Vec<_> = result.records.iter().map(|it| it.arrival).collect();
    let planned: Vec<_> = plan.arrivals.iter().map(|it| it.id).collect();
    assert_eq!(sent, planned);
    assert!(result.records.iter().all(|it| it.is_good()));
    assert_eq!(first.requests.get() + second.requests.get(), planned.len() as u64);
    assert!(first.requests.get() > 0 && second.requests.get() > 0);
}

#[test]
fn repeated_orders_reported() {
    let plan = Plan::generate(&settings()).expect("valid settings");
    let fake = Rc::<FakeRouter>::default();
    let report = block_on(async {
        let addr = fake.start();
        let result = run(&[addr], &plan).await.expect("a router");
        let pool = Pool::new(PoolSettings::default(), Rc::new(SystemClock));
        let standins = Standins { engines: vec![addr], order_services: vec![addr] };
        let counts = standin_counts::collect(&pool, &standins, &result.records, 0).await;
        let counts = counts.expect("the fake serves counts");
        Report::new(&settings().classes, &result.records, &counts, result.duration)
    });
    let repeated = fake.executions.borrow().values().filter(|it| **it > 1).count();
    assert!(repeated > 0);
    assert_eq!(report.faults.len(), repeated);
    let mut kinds: Vec<String> = report.faults.iter().map(|it| it.kind.to_string()).collect();
    kinds.dedup();
    expect![[r#"["order repeated"]"#]].assert_eq(&format!("{kinds:?}"));
}

#[test]
fn empty_router_list_refused() {
    let plan = Plan::generate(&settings()).expect("valid settings");
    assert_eq!(block_on(run(&[], &plan)), Err(RunFault::NoRouter));
}

#[test]
fn unreachable_router_recorded() {
    let plan =
        Plan::generate(&PlanSettings { requests_max: 2, ..settings() }).expect("valid settings");
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = unused.local_addr().expect("a bound listener");
    drop(unused);
    let routers = [LoopbackAddr::checked(addr).expect("a loopback port")];
    let result = block_on(run(&routers, &plan)).expect("a router");
    let report = Report::new(
        &settings().classes,
        &result.records,
        &StandinCounts::default(),
        Duration::from_secs(1),
    );
    let replies: Vec<String> =
        report.replies.iter().map(|it| format!("{} {}", it.count, it.ending)).collect();
    expect![[r#"["2 broken"]"#]].assert_eq(&format!("{replies:?}"));
}
