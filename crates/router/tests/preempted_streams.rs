//! An urgent request takes the place of a less urgent stream, which then goes on where it was.

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
    Fake, Setup, event_stream, id_of, last_events, run, streamed_chat, token_event, with_header,
};

const GAP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Token,
    Pause,
}

/// An engine that takes one request at a time and pauses streams when asked.
#[derive(Default)]
struct PausingEngine {
    /// Each message brings the next token of the draft, or its pause.
    steps: RefCell<Option<mpsc::UnboundedSender<Step>>>,
    /// Whether paused streams are forgotten, so that they must be imported again.
    forgets: bool,
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
                support::stream(&req, &[" at once"], support::Ending::Whole)
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
        let (id, (mut sender, reply)) = (id_of(req), event_stream(&id_of(req)));
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
        if self.forgets && self.imported.borrow().is_empty() {
            return Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown".into());
        }
        let (id, (mut sender, reply)) = (id_of(req), event_stream(&id_of(req)));
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

fn check(engine: PausingEngine, paths: &[&str]) {
    run(async {
        let engine = Rc::new(engine);
        let shared = Rc::clone(&engine);
        let fake = Fake::start(async move |req| shared.answer(req).await);
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
        // The router needs a measured gap between tokens to know that a pause is worth it.
        clock.advance(GAP);
        engine.step(Step::Token);
        draft.body.next().await.expect("a token").expect("a whole chunk");

        // The urgent request grows pressing as its wait uses up the target.
        monoio::spawn(async move {
            loop {
                clock.advance(Duration::from_millis(5));
                monoio::time::sleep(Duration::ZERO).await;
            }
        });
        let body = r#"{"model":"m","messages":[{"role":"user","content":"urgent"}]}"#;
        let urgent = router.exchange(ClientRequest { body: body.into(), ..streamed_chat() }).await;
        assert!(urgent.contains(" at once"), "{urgent}");

        let rest = draft.body.collect().await.expect("the draft is whole");
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(rest.contains(" second") && !rest.contains("paused"), "{rest}");
        assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
        assert_eq!(fake.paths(), paths);
    });
}

#[test]
fn draft_makes_way() {
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
fn forgotten_stream_imported() {
    check(
        PausingEngine { forgets: true, ..PausingEngine::default() },
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
