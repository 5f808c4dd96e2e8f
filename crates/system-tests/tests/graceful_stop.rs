//! Guards against streams that are cut off when a router stops on SIGTERM.

use std::thread;

use system_tests::{Setup, Site, chat, wait_for};

const STREAMS: usize = 12;
const TOKENS: u32 = 100;

#[test]
fn streams_complete() {
    let mut site = Site::start(Setup::default());
    let addr = site.addr("router-1");
    let send = |idx| thread::spawn(move || chat(addr, &format!("question {idx}"), TOKENS));
    let streams: Vec<_> = (0..STREAMS).map(send).collect();
    wait_for("streams in flight", || {
        (site.metric("router-1", "router_in_flight")? >= STREAMS as u64).then_some(())
    });
    site.terminate("router-1");
    let status = site.wait("router-1");
    for stream in streams {
        let answer = stream.join().expect("the caller ends").expect("an answer");
        assert!(answer.is_complete && answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    }
    assert_eq!(status.code(), Some(0));
}
