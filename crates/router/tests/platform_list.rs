//! Guards against new requests to a server that the platform's list shows as leaving, and against
//! missed additions to the list.

mod support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use futures::{StreamExt, channel::mpsc};
use httpio::{StatusCode, server::Reply};
use support::{FakeServer, Setup, run, unstreamed_chat};

/// A fake platform that serves a list of servers; `start` also returns a channel with a message for
/// each poll.
#[derive(Clone)]
struct Platform {
    list: Rc<RefCell<String>>,
    addr: SocketAddr,
}

impl Platform {
    fn start() -> (Platform, mpsc::UnboundedReceiver<()>) {
        let list = Rc::new(RefCell::new("[]".to_owned()));
        let (polled, polls) = mpsc::unbounded();
        let shared = Rc::clone(&list);
        let fake = FakeServer::start(async move |_| {
            polled.unbounded_send(()).expect("the test receives");
            Reply::typed(StatusCode::OK, "application/json", shared.borrow().clone().into())
        });
        (Platform { list, addr: fake.addr }, polls)
    }

    fn set(&self, entries: &[(SocketAddr, u64, &str)]) {
        let entries: Vec<_> = entries
            .iter()
            .map(|(addr, incarnation, state)| {
                format!(
                    r#"{{"vm":"v","addr":"{addr}","failure_domain":"fd-1","pool":"llm","incarnation":{incarnation},"state":"{state}"}}"#
                )
            })
            .collect();
        *self.list.borrow_mut() = format!("[{}]", entries.join(","));
    }
}

#[test]
fn leaving_server_unused() {
    run(async {
        let (first, second) = (FakeServer::engine(&[" first"]), FakeServer::engine(&[" second"]));
        let (platform, mut polls) = Platform::start();
        platform.set(&[(first.addr, 3, "live")]);
        let pool = "discovery = platform";
        let setup =
            Setup { engines: vec![], pool, platform: Some(platform.addr), ..Setup::default() };
        let router = setup.start();
        polls.next().await;
        while !router.exchange(unstreamed_chat()).await.contains(" first") {}

        platform.set(&[(first.addr, 3, "leaving"), (second.addr, 1, "live")]);
        while !router.exchange(unstreamed_chat()).await.contains(" second") {}
        let first_requests = first.requests.borrow().len();

        // A stale list shows the leaving server as live again, in the same incarnation.
        platform.set(&[(first.addr, 3, "live"), (second.addr, 1, "live")]);
        polls.next().await;
        polls.next().await;
        for _ in 0..8 {
            assert!(router.exchange(unstreamed_chat()).await.contains(" second"));
        }
        assert_eq!(first.requests.borrow().len(), first_requests);

        // The first server has restarted, and the second one leaves.
        platform.set(&[(first.addr, 4, "live"), (second.addr, 1, "leaving")]);
        while !router.exchange(unstreamed_chat()).await.contains(" first") {}
    });
}
