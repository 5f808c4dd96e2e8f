//! Guards against failed requests when one engine refuses every request as not started while others
//! are available.

mod support;

use httpio::client::Request as ClientRequest;
use support::{FakeServer, Setup, not_started, run, unstreamed_chat};

const TOKENS: &[&str] = &[" one", " two", " three"];
const REQUESTS: usize = 120;

/// An unstreamed chat request with a unique prompt.
fn numbered(number: usize) -> ClientRequest {
    let request = unstreamed_chat();
    let body = String::from_utf8_lossy(&request.body).replace("hi", &format!("hi {number}"));
    ClientRequest { body: body.into(), ..request }
}

#[test]
fn refusals_fail_over() {
    run(async {
        let refusing = FakeServer::start(async |req| not_started(&req));
        let good = [FakeServer::engine(TOKENS), FakeServer::engine(TOKENS)];
        let engines = vec![refusing.addr, good[0].addr, good[1].addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut refused = 0;
        for number in 0..REQUESTS {
            let answer = router.exchange(numbered(number)).await;
            refused += usize::from(!answer.starts_with("200 OK\nx-outcome: ran\n"));
        }
        let attempts = refusing.request_lines().len();
        assert_eq!(
            refused, 0,
            "failed of {REQUESTS} requests; the refusing engine got {attempts} attempts"
        );
        assert!(attempts <= REQUESTS, "{attempts} attempts at one server for {REQUESTS} requests");
    });
}
