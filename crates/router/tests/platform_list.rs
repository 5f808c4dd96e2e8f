//! Servers come and go by the platform's list, and a leaving one gets no new work.

mod support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use futures::{StreamExt, channel::mpsc};
use httpio::{StatusCode, server::Reply};
use support::{Fake, Setup, run, whole_chat};

/// The platform's list, and word of each time that it was asked for.
#[derive(Clone)]
struct Platform {
    list: Rc<RefCell<String>>,
    addr: SocketAddr,
}

impl Platform {
    fn start() -> (Platform, mpsc::UnboundedReceiver<()>) {
        let list = Rc::new(RefCell::new("[]".to_owned()));
        let (asked, asks) = mpsc::unbounded();
        let shown = Rc::clone(&list);
        let fake = Fake::start(async move |_| {
            asked.unbounded_send(()).expect("the test waits");
            Reply::typed(StatusCode::OK, "application/json", shown.borrow().clone().into())
        });
        (Platform { list, addr: fake.addr }, asks)
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
fn leaving_server_is_spared() {
    run(async {
        let (first, second) = (Fake::engine(&[" first"]), Fake::engine(&[" second"]));
        let (platform, mut asks) = Platform::start();
        platform.set(&[(first.addr, 3, "live")]);
        let pool = "discovery = platform";
        let setup =
            Setup { engines: vec![], pool, platform: Some(platform.addr), ..Setup::default() };
        let router = setup.start();
        asks.next().await;
        while !router.exchange(whole_chat()).await.contains(" first") {}

        platform.set(&[(first.addr, 3, "leaving"), (second.addr, 1, "live")]);
        while !router.exchange(whole_chat()).await.contains(" second") {}
        let asked = first.seen.borrow().len();

        // The list is out of order: the server that is leaving shows as live once more.
        platform.set(&[(first.addr, 3, "live"), (second.addr, 1, "live")]);
        asks.next().await;
        asks.next().await;
        for _ in 0..8 {
            assert!(router.exchange(whole_chat()).await.contains(" second"));
        }
        assert_eq!(first.seen.borrow().len(), asked);

        // It has restarted, and the other one leaves.
        platform.set(&[(first.addr, 4, "live"), (second.addr, 1, "leaving")]);
        while !router.exchange(whole_chat()).await.contains(" first") {}
    });
}
