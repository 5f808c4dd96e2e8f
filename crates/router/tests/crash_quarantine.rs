//! A request that crashes the servers that run it is refused before it reaches a third.

mod support;

use expect_test::expect;
use httpio::{client::Request as ClientRequest, server::Reply};
use support::{Ending, Fake, Setup, run, stream, whole_chat};

#[test]
fn third_server_is_spared() {
    run(async {
        let crashes_on = |text: &'static str| {
            Fake::start(async move |req| {
                let is_cancel = req.method == httpio::Method::DELETE;
                if is_cancel || String::from_utf8_lossy(&req.body).contains(text) {
                    return Reply::abort();
                }
                stream(&req, &[" fine"], Ending::Whole)
            })
        };
        let engines: Vec<_> = (0..3).map(|_| crashes_on("poison")).collect();
        let addrs = engines.iter().map(|it| it.addr).collect();
        let chat = "retries_max = 5";
        let router = Setup { engines: addrs, chat, ..Setup::default() }.start();
        let poison = || ClientRequest {
            body: r#"{"model":"m","messages":[{"role":"user","content":"poison"}]}"#.into(),
            ..whole_chat()
        };
        expect![[r#"
            422 Unprocessable Entity
            x-outcome: may-have-run
            x-request-id: q1
            content-type: application/json
            {"error":{"code":"quarantined","message":"the connection ended before the answer did (request sent); the request crashed backend servers: change it","outcome":"may-have-run","retry_after_ms":null}}"#]].assert_eq(&router.exchange(poison()).await);
        let crashed = || engines.iter().filter(|it| !it.seen.borrow().is_empty()).count();
        assert_eq!(crashed(), 2);
        let again = router.exchange(poison()).await;
        assert!(again.starts_with("422 Unprocessable Entity\nx-outcome: not-run\n"), "{again}");
        assert!(again.contains("retry-after: 600\n"), "{again}");
        assert_eq!(crashed(), 2);
        let innocent = router.exchange(whole_chat()).await;
        assert!(innocent.starts_with("200 OK"), "{innocent}");
    });
}
