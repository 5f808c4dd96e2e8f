//! A stop finishes the streams in flight; a second one does not wait for them.

mod support;

use std::rc::Rc;

use futures::{FutureExt, StreamExt, channel::mpsc};
use router::daemon::Stopped;
use support::{Fake, Setup, event_stream, id_of, last_events, run, streamed_chat, token_event};

/// An engine whose stream goes on when the test says so.
fn slow_engine() -> (Fake, mpsc::UnboundedSender<()>) {
    let (go, goes) = mpsc::unbounded::<()>();
    let goes = Rc::new(futures::lock::Mutex::new(goes));
    let engine = Fake::start(async move |req| {
        let (mut sender, reply) = event_stream(&id_of(&req));
        let goes = Rc::clone(&goes);
        monoio::spawn(async move {
            let id = id_of(&req);
            let _ = sender.send(token_event(&id, " first")).await;
            goes.lock().await.next().await;
            let _ = sender.send(token_event(&id, " second")).await;
            let _ = sender.send(last_events(&id, 2)).await;
            let _ = sender.finish().await;
        });
        reply
    });
    (engine, go)
}

#[test]
fn stream_is_finished() {
    run(async {
        let (engine, go) = slow_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let mut response = router.send(streamed_chat()).await;
        let first = response.body.next().await.expect("a token").expect("a whole chunk");
        assert!(String::from_utf8_lossy(&first).contains(" first"));

        router.stop.unbounded_send(()).expect("the router runs");
        go.unbounded_send(()).expect("the engine waits");
        let rest = response.body.collect().await.expect("the stream ends in good order");
        assert!(String::from_utf8_lossy(&rest).ends_with("data: [DONE]\n\n"));
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::Gracefully);
    });
}

#[test]
fn second_stop_is_harsh() {
    run(async {
        let (engine, _go) = slow_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let mut response = router.send(streamed_chat()).await;
        response.body.next().await.expect("a token").expect("a whole chunk");

        router.stop.unbounded_send(()).expect("the router runs");
        router.stop.unbounded_send(()).expect("the router runs");
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::AtOnce);
        assert!(response.body.next().now_or_never().is_none());
    });
}
