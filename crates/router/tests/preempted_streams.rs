//! Guards against an urgent request that waits behind a less urgent stream, and a preempted stream
//! that loses or repeats tokens.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use clock::ManualClock;
use futures::{StreamExt, channel::mpsc};
use httpio::{
    Bytes, StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use support::{
    FakeServer, Setup, event_stream, last_events, request_id, run, streamed_chat, token_event,
    with_header,
};

const TOKEN_GAP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Token,
    Pause,
}

/// An engine that serves one request at a time and pauses a stream on request.
#[derive(Default)]
struct PausingEngine {
    /// Each message makes the draft stream send its next token or pause.
    steps: RefCell<Option<mpsc::UnboundedSender<Step>>>,
    /// Whether the engine evicts paused streams, so that their state must be imported again.
    evicts: bool,
    imported: RefCell<Vec<Bytes>>,
}

impl PausingEngine {
    async fn answer(&self, req: Request) -> Reply {
        let path = req.uri.path().to_owned();
        match path.as_str() {
            "/v1/kv" => {
                self.imported.borrow_mut().push(req.body);
                json("{}")
            }
            path if path.ends_with("/pause") => {
                self.step(Step::Pause);
                json("{}")
            }
            path if path.ends_with("/resume") => self.resume(&req),
            path if path.starts_with("/v1/kv/") => json("kept state"),
            path if path.starts_with("/v1/streams/") => json("{}"),
            _ if String::from_utf8_lossy(&req.body).contains("urgent") => {
                support::stream(&req, &[" at once"], support::Ending::Complete)
            }
            _ => self.start(&req),
        }
    }

    fn step(&self, step: Step) {
        let steps = self.steps.borrow().clone().expect("the draft runs");
        steps.unbounded_send(step).expect("the draft runs");
    }

    fn start(&self, req: &Request) -> Reply {
        let (sender, mut steps) = mpsc::unbounded();
        *self.steps.borrow_mut() = Some(sender);
        let (id, (mut sender, reply)) = (request_id(req), event_stream(&request_id(req)));
        monoio::spawn(async move {
            let _ = sender.send(token_event(&id, " first")).await;
            while steps.next().await == Some(Step::Token) {
                let _ = sender.send(token_event(&id, " more")).await;
            }
            let event = httpio::sse::named_event("paused", r#"{"from_token":2}"#);
            let _ = sender.send(event).await;
            let _ = sender.finish().await;
        });
        reply
    }

    fn resume(&self, req: &Request) -> Reply {
        if self.evicts && self.imported.borrow().is_empty() {
            return Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown".into());
        }
        let (id, (mut sender, reply)) = (request_id(req), event_stream(&request_id(req)));
        monoio::spawn(async move {
            let _ = sender.send(token_event(&id, " second")).await;
            let _ = sender.send(last_events(&id, 2)).await;
            let _ = sender.finish().await;
        });
        reply
    }
}

fn json(text: &'static str) -> Reply {
    Reply::typed(StatusCode::OK, "application/json", text.into())
}

fn check(engine: PausingEngine, request_lines: &[&str]) {
    run(async {
        let engine = Rc::new(engine);
        let shared = Rc::clone(&engine);
        let fake = FakeServer::start(async move |req| shared.answer(req).await);
        let clock = ManualClock::default();
        let setup = Setup {
            engines: vec![fake.addr],
            chat: "target_first_token_ms = 100",
            pool: "in_flight_max = 1",
            clock: Rc::new(clock.clone()),
            ..Setup::default()
        };
        let router = setup.start();
        let draft = with_header(streamed_chat(), "x-request-class", "draft");
        let mut draft = router.send(draft).await;
        let first = draft.body.next().await.expect("a token").expect("a whole chunk");
        assert!(String::from_utf8_lossy(&first).contains(" first"));
        // The router pauses a stream only after it has measured a gap between tokens.
        clock.advance(TOKEN_GAP);
        engine.step(Step::Token);
        draft.body.next().await.expect("a token").expect("a whole chunk");

        // The router preempts once the urgent request's wait approaches its first-token target.
        monoio::spawn(async move {
            loop {
                clock.advance(Duration::from_millis(5));
                monoio::time::sleep(Duration::ZERO).await;
            }
        });
        let body = r#"{"model":"m","messages":[{"role":"user","content":"urgent"}]}"#;
        let urgent = router.exchange(ClientRequest { body: body.into(), ..streamed_chat() }).await;
        assert!(urgent.contains(" at once"), "{urgent}");

        let rest = draft.body.collect().await.expect("the draft is complete");
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(rest.contains(" second") && !rest.contains("paused"), "{rest}");
        assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
        assert_eq!(fake.request_lines(), request_lines);
    });
}

#[test]
fn draft_is_preempted() {
    check(
        PausingEngine::default(),
        &[
            "POST /v1/chat/completions",
            "POST /v1/chat/completions",
            "POST /v1/streams/ID/pause",
            "GET /v1/kv/ID",
            "POST /v1/streams/ID/resume",
        ],
    );
}

#[test]
fn evicted_stream_imported() {
    check(
        PausingEngine { evicts: true, ..PausingEngine::default() },
        &[
            "POST /v1/chat/completions",
            "POST /v1/chat/completions",
            "POST /v1/streams/ID/pause",
            "GET /v1/kv/ID",
            "POST /v1/streams/ID/resume",
            "POST /v1/kv",
            "POST /v1/streams/ID/resume",
        ],
    );
}
