//! A server that cuts answers and still answers probes has not crashed.

mod support;

use std::{cell::Cell, rc::Rc};

use httpio::{
    StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use router::order_ledger::OrderLedger;
use support::{Ending, Fake, GrantingLedger, Setup, order, run, stream, streamed_chat, whole_chat};

const TOKENS: &[&str] = &[" one", " two", " three"];

/// An engine that cuts each answer after two tokens and knows no stream to resume.
fn cutting() -> Fake {
    Fake::start(async |req: Request| match req.uri.path() {
        "/v1/chat/completions" => stream(&req, &[" one", " two"], Ending::Cut),
        _ => Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown stream".into()),
    })
}

fn numbered(request: ClientRequest, number: usize) -> ClientRequest {
    let body = String::from_utf8_lossy(&request.body).replace("hi", &format!("hi {number}"));
    ClientRequest { body: body.into(), ..request }
}

/// Sends requests to one cutting and two good engines and counts the whole answers.
fn check_whole(request: impl Fn() -> ClientRequest) {
    run(async {
        let (bad, good) = (cutting(), [Fake::engine(TOKENS), Fake::engine(TOKENS)]);
        let engines = vec![bad.addr, good[0].addr, good[1].addr];
        let chat = "retry_budget_permille = 1000";
        let router = Setup { engines, chat, ..Setup::default() }.start();
        let mut cut = Vec::new();
        for number in 0..30 {
            let answer = router.exchange(numbered(request(), number)).await;
            let is_whole = answer.matches(" one").count() == 1 && answer.contains(" three");
            cut.extend((!is_whole).then_some(answer));
        }
        let met = bad.paths().iter().filter(|it| it.ends_with("/completions")).count();
        assert!(cut.is_empty(), "{} of 30 cut, {met} met the cut: {}", cut.len(), cut[0]);
        assert!(met > 3, "the engine stays in use and was met {met} times");
    });
}

#[test]
fn streams_end_elsewhere() {
    check_whole(streamed_chat);
}

#[test]
fn answers_end_elsewhere() {
    check_whole(whole_chat);
}

#[test]
fn never_quarantined() {
    run(async {
        let engines = vec![cutting().addr, cutting().addr];
        let router = Setup { engines, ..Setup::default() }.start();
        for _ in 0..4 {
            let answer = router.exchange(whole_chat()).await;
            assert!(answer.starts_with("502 Bad Gateway\nx-outcome: may-have-run\n"), "{answer}");
        }
        assert_eq!(router.admin("/quarantine").await.matches("server-hash").count(), 0);
    });
}

#[test]
fn differing_answer_blames_nobody() {
    run(async {
        let bad = cutting();
        let others = Fake::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => stream(&req, &[" uno", " dos"], Ending::Whole),
            _ => Reply::typed(StatusCode::OK, "text/plain", "".into()),
        });
        let engines = vec![bad.addr, others.addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut number = 0;
        while bad.paths().is_empty() {
            router.exchange(numbered(streamed_chat(), number)).await;
            number += 1;
        }
        assert_eq!(router.admin("/quarantine").await.matches("server-hash").count(), 0);
    });
}

#[test]
fn sole_service_stays() {
    run(async {
        let left = Rc::new(Cell::new(10));
        let service = Fake::start(async move |_| {
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
