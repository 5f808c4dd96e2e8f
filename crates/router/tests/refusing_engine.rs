//! An engine that refuses every request as not started costs callers nothing while others serve.

mod support;

use httpio::client::Request as ClientRequest;
use support::{Fake, Setup, not_started, run, whole_chat};

const TOKENS: &[&str] = &[" one", " two", " three"];
const REQUESTS: usize = 120;

/// A whole chat request whose prompt is like no other one's.
fn numbered(number: usize) -> ClientRequest {
    let request = whole_chat();
    let body = String::from_utf8_lossy(&request.body).replace("hi", &format!("hi {number}"));
    ClientRequest { body: body.into(), ..request }
}

#[test]
fn others_serve_all() {
    run(async {
        let refusing = Fake::start(async |_| not_started());
        let good = [Fake::engine(TOKENS), Fake::engine(TOKENS)];
        let engines = vec![refusing.addr, good[0].addr, good[1].addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut refused = 0;
        for number in 0..REQUESTS {
            let answer = router.exchange(numbered(number)).await;
            refused += usize::from(!answer.starts_with("200 OK\nx-outcome: ran\n"));
        }
        let tries = refusing.paths().len();
        assert_eq!(
            refused, 0,
            "of {REQUESTS} requests; the refusing engine was tried {tries} times"
        );
        assert!(tries <= REQUESTS, "{tries} tries at one server for {REQUESTS} requests");
    });
}
