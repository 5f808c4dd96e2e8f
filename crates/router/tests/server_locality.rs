//! A router works with the backend servers of its own failure domain, and with those of others
//! only while its own are down.

mod support;

use support::{Fake, Setup, closed_port, run, whole_chat};

const TOKENS: &[&str] = &[" one", " two"];
const REQUESTS: usize = 20;

fn chats(fake: &Fake) -> usize {
    fake.paths().iter().filter(|it| it.contains("/v1/chat")).count()
}

#[test]
fn own_domain_first() {
    run(async {
        let (near, far) = (Fake::engine(TOKENS), Fake::engine(TOKENS));
        let router =
            Setup { engines: vec![near.addr], far_engines: vec![far.addr], ..Setup::default() }
                .start();
        for _ in 0..REQUESTS {
            assert!(router.exchange(whole_chat()).await.starts_with("200 OK"));
        }
        assert_eq!((chats(&near), chats(&far)), (REQUESTS, 0));
    });
}

#[test]
fn others_when_down() {
    run(async {
        let far = Fake::engine(TOKENS);
        let router =
            Setup { engines: vec![closed_port()], far_engines: vec![far.addr], ..Setup::default() }
                .start();
        for _ in 0..REQUESTS {
            assert!(router.exchange(whole_chat()).await.starts_with("200 OK"));
        }
        assert_eq!(chats(&far), REQUESTS);
    });
}
