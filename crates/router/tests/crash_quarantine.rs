//! Guards against a request that crashes one server after another: after two crashes it is refused.

mod support;

use std::{cell::Cell, rc::Rc};

use expect_test::expect;
use httpio::{client::Request as ClientRequest, server::Reply};
use support::{Ending, FakeServer, Setup, run, stream, unstreamed_chat};

fn crashing_engines() -> Vec<FakeServer> {
    let engine = || {
        let is_healthy = Rc::new(Cell::new(true));
        let healthy = Rc::clone(&is_healthy);
        FakeServer::start_with(is_healthy, async move |req| {
            if String::from_utf8_lossy(&req.body).contains("poison") {
                healthy.set(false);
            }
            match healthy.get() {
                true => stream(&req, &[" fine"], Ending::Complete),
                false => Reply::abort(),
            }
        })
    };
    (0..3).map(|_| engine()).collect()
}

fn poison() -> ClientRequest {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"poison"}]}"#;
    ClientRequest { body: body.into(), ..unstreamed_chat() }
}

#[test]
fn third_server_protected() {
    run(async {
        let engines = crashing_engines();
        let addrs = engines.iter().map(|it| it.addr).collect();
        let chat = "retries_max = 5";
        let router = Setup { engines: addrs, chat, ..Setup::default() }.start();
        expect![[r#"
            422 Unprocessable Entity
            x-outcome: may-have-run
            x-request-id: q1
            content-type: application/json
            {"error":{"code":"quarantined","message":"the connection ended before the answer did (request sent); the request crashed backend servers: change it","outcome":"may-have-run","retry_after_ms":null}}"#]].assert_eq(&router.exchange(poison()).await);
        let crashed = || engines.iter().filter(|it| !it.requests.borrow().is_empty()).count();
        assert_eq!(crashed(), 2);
        let again = router.exchange(poison()).await;
        assert!(again.starts_with("422 Unprocessable Entity\nx-outcome: not-run\n"), "{again}");
        assert!(again.contains("retry-after: 600\n"), "{again}");
        assert_eq!(crashed(), 2);
        let innocent = router.exchange(unstreamed_chat()).await;
        assert!(innocent.starts_with("200 OK"), "{innocent}");
    });
}

#[test]
fn quarantine_is_shared() {
    run(async {
        let engines = crashing_engines();
        let addrs: Vec<_> = engines.iter().map(|it| it.addr).collect();
        let chat = "retries_max = 5";
        let first = Setup { engines: addrs.clone(), chat, ..Setup::default() }.start();
        let peers = vec![first.admin];
        let second = Setup { engines: addrs, chat, peers, ..Setup::default() }.start();
        first.exchange(poison()).await;
        let runs =
            |it: &FakeServer| it.request_lines().iter().filter(|it| it.starts_with("POST")).count();
        let crashed = || engines.iter().map(runs).sum::<usize>();
        let before = crashed();
        // The second router has fetched both crash reports before it receives the request.
        while second.admin("/quarantine").await.matches("server-hash").count() < 2 {}
        let refused = second.exchange(poison()).await;
        assert!(refused.starts_with("422 Unprocessable Entity\nx-outcome: not-run"), "{refused}");
        assert_eq!(crashed(), before);
    });
}
