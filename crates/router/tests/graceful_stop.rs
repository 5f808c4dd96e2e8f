//! Guards against a stop that cuts off streams in flight, and a second stop that waits for them.

mod support;

use std::rc::Rc;

use futures::{FutureExt, StreamExt, channel::mpsc};
use router::daemon::Stopped;
use support::{
    FakeServer, Setup, event_stream, last_events, request_id, run, streamed_chat, token_event,
};

/// An engine whose stream pauses after its first token until the test resumes it.
fn slow_engine() -> (FakeServer, mpsc::UnboundedSender<()>) {
    let (resume, resumes) = mpsc::unbounded::<()>();
    let resumes = Rc::new(futures::lock::Mutex::new(resumes));
    let engine = FakeServer::start(async move |req| {
        let (mut sender, reply) = event_stream(&request_id(&req));
        let resumes = Rc::clone(&resumes);
        monoio::spawn(async move {
            let id = request_id(&req);
            let _ = sender.send(token_event(&id, " first")).await;
            resumes.lock().await.next().await;
            let _ = sender.send(token_event(&id, " second")).await;
            let _ = sender.send(last_events(&id, 2)).await;
            let _ = sender.finish().await;
        });
        reply
    });
    (engine, resume)
}

#[test]
fn stream_completes() {
    run(async {
        let (engine, resume) = slow_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let mut response = router.send(streamed_chat()).await;
        let first = response.body.next().await.expect("a token").expect("a whole chunk");
        assert!(String::from_utf8_lossy(&first).contains(" first"));

        router.stop.unbounded_send(()).expect("the router runs");
        resume.unbounded_send(()).expect("the engine waits");
        let rest = response.body.collect().await.expect("the stream is complete");
        assert!(String::from_utf8_lossy(&rest).ends_with("data: [DONE]\n\n"));
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::Gracefully);
    });
}

#[test]
fn second_stop_immediate() {
    run(async {
        let (engine, _resume) = slow_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let mut response = router.send(streamed_chat()).await;
        response.body.next().await.expect("a token").expect("a whole chunk");

        router.stop.unbounded_send(()).expect("the router runs");
        router.stop.unbounded_send(()).expect("the router runs");
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::AtOnce);
        assert!(response.body.next().now_or_never().is_none());
    });
}
