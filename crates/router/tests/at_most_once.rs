//! Guards against orders that run twice when a request is resent, an answer is lost, or the backend
//! server or the ledger fails.

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use expect_test::{Expect, expect};
use futures::future::{FutureExt, LocalBoxFuture};
use httpio::{
    Bytes, StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use router::order_ledger::{
    BodyHash, ClaimId, ClaimResult, LedgerError, OrderEnd, OrderKey, OrderLedger,
};
use support::{CLAIM_TTL, FakeServer, Setup, not_started, order, run, with_header};

/// An in-memory ledger with the semantics of the replicated one, except that claims never expire.
#[derive(Clone, Default)]
struct MemoryLedger {
    entries: Rc<RefCell<BTreeMap<OrderKey, Entry>>>,
    unreachable: Rc<Cell<bool>>,
}

struct Entry {
    claim: ClaimId,
    body: BodyHash,
    end: Option<OrderEnd>,
}

impl MemoryLedger {
    fn try_claim(&self, key: OrderKey, claim: ClaimId, body: BodyHash) -> ClaimResult {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get(&key) else {
            entries.insert(key, Entry { claim, body, end: None });
            return ClaimResult::Granted;
        };
        match &entry.end {
            _ if entry.body != body => ClaimResult::KeyReused,
            Some(OrderEnd::Answered(answer)) => ClaimResult::Answered(answer.clone()),
            Some(OrderEnd::MayHaveRun) => ClaimResult::MayHaveRun,
            None => ClaimResult::InProgress { retry_after: Duration::from_millis(1_500) },
        }
    }

    fn reply<T: 'static>(&self, value: T) -> LocalBoxFuture<'static, Result<T, LedgerError>> {
        let unreachable = self.unreachable.get();
        async move { if unreachable { Err(LedgerError::Unreachable) } else { Ok(value) } }
            .boxed_local()
    }
}

impl OrderLedger for MemoryLedger {
    fn claim_ttl(&self) -> Duration {
        CLAIM_TTL
    }

    fn claim(
        &self,
        key: OrderKey,
        claim: ClaimId,
        body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>> {
        self.reply(self.try_claim(key, claim, body))
    }

    fn complete(
        &self,
        key: OrderKey,
        claim: ClaimId,
        end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&key).expect("the key is claimed");
        assert_eq!(entry.claim, claim, "only the holder completes a claim");
        entry.end = Some(end);
        self.reply(())
    }

    fn release(
        &self,
        key: OrderKey,
        claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        let entry = self.entries.borrow_mut().remove(&key).expect("the key is claimed");
        assert_eq!(entry.claim, claim, "only the holder releases a claim");
        self.reply(())
    }
}

/// Sends the orders in sequence and checks the answers and the number of requests at the service.
fn check(
    service: impl AsyncFn(Request) -> Reply + 'static,
    orders: Vec<ClientRequest>,
    expected: Expect,
) {
    run(async {
        let service = FakeServer::start(service);
        let ledger = Rc::new(MemoryLedger::default());
        let services = vec![service.addr];
        let router = Setup { services, ledger, ..Setup::default() }.start();
        let mut text = String::new();
        for order in orders {
            text += &format!("{}\n\n", router.exchange(order).await);
        }
        text += &format!("requests: {}\n", service.requests.borrow().len());
        expected.assert_eq(&text);
    });
}

async fn confirm_order(req: Request) -> Reply {
    let key = req.header("idempotency-key").expect("the router forwards the key").to_owned();
    Reply::typed(StatusCode::CREATED, "text/plain", format!("did {key}").into())
}

fn twice(order: ClientRequest) -> Vec<ClientRequest> {
    vec![order.clone(), order]
}

#[test]
fn resend_returns_stored() {
    check(
        confirm_order,
        twice(order("k1")),
        expect![[r#"
        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k1

        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k1

        requests: 1
    "#]],
    );
}

#[test]
fn keys_are_independent() {
    let south_order = with_header(order("k1"), "authorization", "Bearer token-of-south");
    check(
        confirm_order,
        vec![order("k1"), order("k2"), south_order],
        expect![[r#"
        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k1

        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k2

        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k1

        requests: 3
    "#]],
    );
}

#[test]
fn changed_body_refused() {
    let other = ClientRequest { body: Bytes::from_static(b"other"), ..order("k1") };
    check(
        confirm_order,
        vec![order("k1"), other],
        expect![[r#"
        201 Created
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        did k1

        422 Unprocessable Entity
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"idempotency_key_reused","message":"the idempotency key was used with another body; use a new key for a new order","outcome":"not-run","retry_after_ms":null}}

        requests: 1
    "#]],
    );
}

#[test]
fn lost_answer_not_retried() {
    check(
        async |_| Reply::abort(),
        twice(order("k1")),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the connection ended before the answer did (request sent); it is not tried again: check what it did before sending it anew","outcome":"may-have-run","retry_after_ms":null}}

        409 Conflict
        x-outcome: may-have-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"order_in_doubt","message":"an earlier attempt may have run and is not repeated; ask the service what became of it","outcome":"may-have-run","retry_after_ms":null}}

        requests: 1
    "#]],
    );
}

#[test]
fn not_started_order_reruns() {
    let refusals = Cell::new(0);
    check(
        async move |req| {
            refusals.set(refusals.get() + 1);
            if refusals.get() == 1 { not_started(&req) } else { confirm_order(req).await }
        },
        twice(order("k1")),
        expect![[r#"
            503 Service Unavailable
            x-outcome: not-run
            x-request-id: q1
            retry-after: 1
            content-type: application/json
            {"error":{"code":"overloaded","message":"the backend server refused the request before starting it; it had its last attempt: come back later","outcome":"not-run","retry_after_ms":1000}}

            201 Created
            x-outcome: ran
            x-request-id: q1
            content-type: text/plain
            did k1

            requests: 2
        "#]],
    );
}

#[test]
fn resend_while_running() {
    run(async {
        let (finish, finish_requested) = httpio::signal::signal();
        let (started, starts) = httpio::signal::signal();
        let started = Cell::new(Some(started));
        let service = FakeServer::start(async move |req| {
            started.take().expect("the service receives one order").raise();
            finish_requested.raised().await;
            confirm_order(req).await
        });
        let ledger = Rc::new(MemoryLedger::default());
        let router =
            Rc::new(Setup { services: vec![service.addr], ledger, ..Setup::default() }.start());
        let shared = Rc::clone(&router);
        let first = monoio::spawn(async move { shared.exchange(order("k1")).await });
        starts.raised().await;
        expect![[r#"
            409 Conflict
            x-outcome: may-have-run
            x-request-id: q1
            retry-after: 2
            content-type: application/json
            {"error":{"code":"order_in_progress","message":"the order is in progress; send it again later with the same key","outcome":"may-have-run","retry_after_ms":1500}}"#]].assert_eq(&router.exchange(order("k1")).await);
        finish.raise();
        assert!(first.await.ends_with("did k1"));
        assert_eq!(service.requests.borrow().len(), 1);
    });
}

#[test]
fn disconnected_caller_resends() {
    run(async {
        let (finish, finish_requested) = httpio::signal::signal();
        let service = FakeServer::start(async move |req| {
            finish_requested.raised().await;
            confirm_order(req).await
        });
        let ledger = MemoryLedger::default();
        let services = vec![service.addr];
        let setup = Setup { services, ledger: Rc::new(ledger.clone()), ..Setup::default() };
        let router = setup.start();
        let limits = httpio::Limits { head_timeout_ms: 30, ..Default::default() };
        let caller = httpio::client::Connection::open(router.addr, limits).await.expect("a router");
        assert!(caller.send(order("k1")).await.is_err(), "the caller times out");
        finish.raise();
        // The order completes although its caller has disconnected; a resend gets the answer.
        loop {
            let answer = router.exchange(order("k1")).await;
            if answer.starts_with("201") {
                break assert!(answer.ends_with("did k1"), "{answer}");
            }
            assert!(answer.starts_with("409"), "{answer}");
        }
        assert_eq!(service.requests.borrow().len(), 1);
    });
}

#[test]
fn unrecorded_order_stays_claimed() {
    run(async {
        let ledger = MemoryLedger::default();
        let unreachable = Rc::clone(&ledger.unreachable);
        let service = FakeServer::start(async move |req| {
            unreachable.set(true);
            confirm_order(req).await
        });
        let services = vec![service.addr];
        let setup = Setup { services, ledger: Rc::new(ledger), ..Setup::default() };
        let router = setup.start();
        let first = router.exchange(order("k1")).await;
        assert!(first.starts_with("201 Created\nx-outcome: ran"), "{first}");
        let second = router.exchange(order("k1")).await;
        assert!(second.starts_with("503 Service Unavailable\nx-outcome: not-run"), "{second}");
        assert_eq!(service.requests.borrow().len(), 1);
    });
}
