//! Guards against treating a server as crashed that truncates answers but still answers probes.

mod support;

use std::{cell::Cell, rc::Rc};

use httpio::{
    StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use router::order_ledger::OrderLedger;
use support::{
    Ending, FakeServer, GrantingLedger, Setup, order, run, stream, streamed_chat, unstreamed_chat,
};

/// Requests in which the router finds out that an engine truncates, and those that are counted.
const FIRST: usize = 30;
const REQUESTS: usize = 240;
const ENGINES: usize = 3;
const TOKENS: &[&str] = &[" one", " two", " three"];

/// An engine that disconnects after two tokens of each answer and cannot resume streams.
fn truncating_engine() -> FakeServer {
    FakeServer::start(async |req: Request| match req.uri.path() {
        "/v1/chat/completions" => stream(&req, &[" one", " two"], Ending::Disconnected),
        _ => Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown stream".into()),
    })
}

fn numbered(request: ClientRequest, number: usize) -> ClientRequest {
    let body = String::from_utf8_lossy(&request.body).replace("hi", &format!("hi {number}"));
    ClientRequest { body: body.into(), ..request }
}

/// Sends requests to one truncating and two good engines and checks that all answers are complete, and
/// that the truncating engine gets less than a fifth of its share but stays in use.
fn check_complete(request: impl Fn() -> ClientRequest) {
    run(async {
        let (bad, good) =
            (truncating_engine(), [FakeServer::engine(TOKENS), FakeServer::engine(TOKENS)]);
        let engines = vec![bad.addr, good[0].addr, good[1].addr];
        let chat = "retry_budget_permille = 1000";
        let router = Setup { engines, chat, ..Setup::default() }.start();
        let hits = || bad.request_lines().iter().filter(|it| it.ends_with("/completions")).count();
        let (mut truncated, mut before) = (Vec::new(), 0);
        for number in 0..FIRST + REQUESTS {
            if number == FIRST {
                before = hits();
            }
            let answer = router.exchange(numbered(request(), number)).await;
            let is_complete = answer.matches(" one").count() == 1 && answer.contains(" three");
            truncated.extend((!is_complete).then_some(answer));
        }
        let hits = hits() - before;
        assert!(
            truncated.is_empty(),
            "{} of {REQUESTS} answers truncated, {hits} requests sent to the truncating engine: {}",
            truncated.len(),
            truncated[0]
        );
        let share = REQUESTS / ENGINES;
        assert!(hits <= share / 5, "the truncating engine received {hits} of a share of {share}");
        assert!(hits > 0, "the truncating engine stays in use");
    });
}

#[test]
fn streams_fail_over() {
    check_complete(streamed_chat);
}

#[test]
fn answers_fail_over() {
    check_complete(unstreamed_chat);
}

#[test]
fn never_quarantined() {
    run(async {
        let engines = vec![truncating_engine().addr, truncating_engine().addr];
        let router = Setup { engines, ..Setup::default() }.start();
        for _ in 0..4 {
            let answer = router.exchange(unstreamed_chat()).await;
            assert!(answer.starts_with("502 Bad Gateway\nx-outcome: may-have-run\n"), "{answer}");
        }
        assert_eq!(router.admin("/quarantine").await.matches("server-hash").count(), 0);
    });
}

#[test]
fn mismatch_not_quarantined() {
    run(async {
        let bad = truncating_engine();
        let others = FakeServer::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => stream(&req, &[" uno", " dos"], Ending::Complete),
            _ => Reply::typed(StatusCode::OK, "text/plain", "".into()),
        });
        let engines = vec![bad.addr, others.addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut number = 0;
        while bad.request_lines().is_empty() {
            router.exchange(numbered(streamed_chat(), number)).await;
            number += 1;
        }
        assert_eq!(router.admin("/quarantine").await.matches("server-hash").count(), 0);
    });
}

#[test]
fn sole_service_kept() {
    run(async {
        let left = Rc::new(Cell::new(10));
        let service = FakeServer::start(async move |_| {
            left.set(left.get() - 1);
            match left.get() {
                0.. => Reply::abort(),
                _ => Reply::typed(StatusCode::CREATED, "text/plain", "done".into()),
            }
        });
        let ledger: Rc<dyn OrderLedger> = Rc::new(GrantingLedger::default());
        let router = Setup { services: vec![service.addr], ledger, ..Setup::default() }.start();
        let mut counts = [0; 3];
        for number in 0..39 {
            let answer = router.exchange(order(&format!("k{number}"))).await;
            counts[0] += usize::from(answer.starts_with("201"));
            counts[1] += usize::from(answer.contains("x-outcome: may-have-run"));
            counts[2] += usize::from(answer.contains("x-outcome: not-run"));
        }
        assert_eq!(counts, [29, 10, 0], "created, may have run, not run");
    });
}
