//! Guards against sending an order whose claim may already have expired.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use clock::ManualClock;
use expect_test::{Expect, expect};
use support::{CLAIM_TTL, FakeServer, GrantingLedger, Setup, order, run};

/// Sends an order whose claim is granted after `delay`, and checks the answer and the calls made.
fn check(delay: Duration, expected: Expect) {
    run(async {
        let (clock, service, released) =
            (ManualClock::default(), FakeServer::service(), Rc::new(Cell::new(0)));
        let shared_clock = clock.clone();
        let advance_clock: Rc<dyn Fn()> = Rc::new(move || shared_clock.advance(delay));
        let ledger = GrantingLedger { released: Rc::clone(&released), delay: Some(advance_clock) };
        let router = Setup {
            services: vec![service.addr],
            ledger: Rc::new(ledger),
            clock: Rc::new(clock),
            order_deadline_ms: 900_000,
            ..Setup::default()
        }
        .start();
        let answer = router.exchange(order("k1")).await;
        let (requests, released) = (service.requests.borrow().len(), released.get());
        expected.assert_eq(&format!("{answer}\nrequests: {requests}, released: {released}\n"));
    });
}

#[test]
fn granted_in_time() {
    check(
        CLAIM_TTL - Duration::from_millis(1),
        expect![[r#"
        200 OK
        x-outcome: ran
        x-request-id: q1
        content-type: text/plain
        /orders
        requests: 1, released: 0
    "#]],
    );
}

#[test]
fn granted_too_late() {
    check(
        CLAIM_TTL,
        expect![[r#"
            503 Service Unavailable
            x-outcome: not-run
            x-request-id: q1
            retry-after: 1
            content-type: application/json
            {"error":{"code":"order_claim_expired","message":"the claim on the key ran out before the order was sent; send the order again","outcome":"not-run","retry_after_ms":1000}}
            requests: 0, released: 1
        "#]],
    );
}
