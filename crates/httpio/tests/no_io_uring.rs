//! A server uses the epoll driver, even if other crates enable monoio's io_uring feature.

mod support;

use std::fs;

use httpio::{
    Limits, StatusCode,
    server::{Reply, StopSignals},
};

#[test]
fn uses_epoll() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            Reply::typed(StatusCode::OK, "text/plain", open_files().join("\n").into())
        });
        let pool = support::pool(Limits::default());
        let files = support::text(pool.send(addr, support::get("/")).await).await;
        assert!(files.contains("eventpoll"), "no epoll descriptor is open: {files}");
        assert!(!files.contains("io_uring"), "an io_uring descriptor is open: {files}");
    });
}

fn open_files() -> Vec<String> {
    let entries = fs::read_dir("/proc/self/fd").expect("proc is mounted");
    entries
        .filter_map(|it| fs::read_link(it.ok()?.path()).ok())
        .map(|it| it.display().to_string())
        .collect()
}
