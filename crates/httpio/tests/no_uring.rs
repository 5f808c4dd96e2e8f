//! Serving opens no io_uring, whatever features other crates switch on.

mod support;

use std::fs;

use httpio::{
    Limits, StatusCode,
    server::{Reply, StopSignals},
};

#[test]
fn no_ring_is_open() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            Reply::typed(StatusCode::OK, "text/plain", open_files().join("\n").into())
        });
        let pool = support::pool(Limits::default());
        let files = support::text(pool.send(addr, support::get("/")).await).await;
        assert!(files.contains("eventpoll"), "the epoll driver is in use: {files}");
        assert!(!files.contains("io_uring"), "a ring is open: {files}");
    });
}

fn open_files() -> Vec<String> {
    let entries = fs::read_dir("/proc/self/fd").expect("proc is mounted");
    entries
        .filter_map(|it| fs::read_link(it.ok()?.path()).ok())
        .map(|it| it.display().to_string())
        .collect()
}
