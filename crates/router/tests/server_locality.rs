//! Guards against requests that leave the router's failure domain while its own backend servers are
//! up, and requests that fail when only remote ones are.

mod support;

use support::{FakeServer, Setup, closed_port, run, unstreamed_chat};

const TOKENS: &[&str] = &[" one", " two"];
const REQUESTS: usize = 20;

fn chat_count(fake: &FakeServer) -> usize {
    fake.request_lines().iter().filter(|it| it.contains("/v1/chat")).count()
}

#[test]
fn own_domain_preferred() {
    run(async {
        let (local, remote) = (FakeServer::engine(TOKENS), FakeServer::engine(TOKENS));
        let router = Setup {
            engines: vec![local.addr],
            remote_engines: vec![remote.addr],
            ..Setup::default()
        }
        .start();
        for _ in 0..REQUESTS {
            assert!(router.exchange(unstreamed_chat()).await.starts_with("200 OK"));
        }
        assert_eq!((chat_count(&local), chat_count(&remote)), (REQUESTS, 0));
    });
}

#[test]
fn remote_domain_fallback() {
    run(async {
        let remote = FakeServer::engine(TOKENS);
        let router = Setup {
            engines: vec![closed_port()],
            remote_engines: vec![remote.addr],
            ..Setup::default()
        }
        .start();
        for _ in 0..REQUESTS {
            assert!(router.exchange(unstreamed_chat()).await.starts_with("200 OK"));
        }
        assert_eq!(chat_count(&remote), REQUESTS);
    });
}
