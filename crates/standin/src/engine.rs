//! The model engine: runs the simulated engine in real time behind the HTTP API of an engine.

mod answers;
mod api;
mod driver;
mod loaded_models;
mod state;
mod streams;

use std::{cell::RefCell, rc::Rc};

use clock::Clock;
use engine_model::{CacheSeq, RequestId, SubmitError, prompt_text};
use futures::{FutureExt, channel::mpsc, future::LocalBoxFuture};
use httpio::{
    Method, StatusCode,
    server::{Reply, Request},
};
use monoio::time;
use serde_json::json;

use self::{
    api::{
        CacheEventPage, ChatRequest, KvTransfer, LoadReport, Order, ResumeRequest, StreamReport,
    },
    state::State,
    streams::{GenerationRequest, Reader},
};
use crate::{
    faults::FaultInjector, handler::Service, reply, settings::EngineSettings, stats::Stats,
};

/// A model engine.
pub(crate) struct EngineService {
    settings: EngineSettings,
    clock: Rc<dyn Clock>,
    injector: Rc<FaultInjector>,
    state: RefCell<State>,
    wake: RefCell<mpsc::Sender<()>>,
}

impl EngineService {
    /// Creates the service and starts the task that steps the engine.
    pub(crate) fn start(
        settings: EngineSettings,
        clock: Rc<dyn Clock>,
        injector: Rc<FaultInjector>,
    ) -> Rc<EngineService> {
        let state = RefCell::new(State::new(&settings, clock.now()));
        let (wake, wakeups) = mpsc::channel(0);
        let wake = RefCell::new(wake);
        let service = Rc::new(EngineService { settings, clock, injector, state, wake });
        monoio::spawn(driver::run(Rc::clone(&service), wakeups));
        service
    }

    async fn route(self: Rc<Self>, request: Request) -> Reply {
        self.state.borrow_mut().expire(self.clock.now());
        let path = request.uri.path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(request).await,
            (&Method::POST, ["v1", "streams", name, "pause"]) => self.pause(name),
            (&Method::POST, ["v1", "streams", name, "resume"]) => self.resume(name, request).await,
            (&Method::DELETE, ["v1", "streams", name]) => self.cancel(name),
            (&Method::GET, ["v1", "kv", name]) => self.export(name),
            (&Method::POST, ["v1", "kv"]) => self.import(&request),
            (&Method::GET, ["v1", "load"]) => self.load_report(),
            (&Method::GET, ["v1", "cache", "events"]) => self.cache_events(&request),
            (&Method::GET, ["v1", "orders"]) => reply::ok(&self.state.borrow().loaded_models),
            (&Method::POST, ["v1", "orders"]) => self.apply_order(&request).await,
            _ => reply::not_found(),
        }
    }

    async fn chat(self: Rc<Self>, request: Request) -> Reply {
        let chat: ChatRequest = match reply::parse_body(&request) {
            Ok(chat) => chat,
            Err(error) => return error.into(),
        };
        if !self.state.borrow().loaded_models.serves(&chat.model) {
            let message = "this model is not loaded: send the request to another engine";
            return reply::not_started(StatusCode::NOT_FOUND, "model-not-loaded", message);
        }
        let reader = match self.submit(&request, &chat) {
            Ok(reader) => reader,
            Err(error) => return submit_error_reply(error),
        };
        if chat.stream {
            return self.stream(reader, 0, request.disconnected).await;
        }
        self.complete(reader, request.disconnected).await
    }

    fn submit(&self, request: &Request, chat: &ChatRequest) -> Result<Reader, SubmitError> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let given = request.header(reply::REQUEST_ID).map(str::to_owned);
        let name = given.unwrap_or_else(|| format!("standin-{}", state.stats.requests_started + 1));
        let generation = GenerationRequest {
            name,
            model: chat.model.clone(),
            prompt: prompt_text(chat.messages.iter().map(|it| it.content.as_str())),
            max_tokens: chat.max_tokens,
        };
        let id = state.submit(generation, chat.priority, now)?;
        if self.injector.take_crossed_answer() {
            state.cross(id);
        }
        self.wake_driver();
        // The stream was inserted above, so `attach` finds it.
        state.streams.attach(id).ok_or(SubmitError::DuplicateId)
    }

    fn pause(&self, name: &str) -> Reply {
        let mut state = self.state.borrow_mut();
        let paused = state.streams.find(name).and_then(|id| state.pause(id, self.clock.now()));
        progress_reply(name, paused)
    }

    async fn resume(self: Rc<Self>, name: &str, request: Request) -> Reply {
        let ResumeRequest { from_token } = match reply::parse_body(&request) {
            Ok(body) => body,
            Err(error) => return error.into(),
        };
        let Some(id) = self.state.borrow().streams.find(name) else { return stream_not_found() };
        let produced_tokens = self.state.borrow().streams.by_id[&id].produced_tokens;
        if from_token > produced_tokens {
            let message = format!("resume from token {produced_tokens} or before");
            return reply::error(StatusCode::CONFLICT, "not-made-yet", &message);
        }
        let resumed = self.state.borrow_mut().resume(id, self.clock.now());
        let Some(reader) = resumed else { return stream_not_found() };
        self.wake_driver();
        self.stream(reader, from_token, request.disconnected).await
    }

    fn cancel(&self, name: &str) -> Reply {
        let mut state = self.state.borrow_mut();
        let cancelled = state.streams.find(name).and_then(|id| state.cancel(id, self.clock.now()));
        progress_reply(name, cancelled)
    }

    fn export(&self, name: &str) -> Reply {
        let state = self.state.borrow();
        let exported = state.streams.find(name).and_then(|id: RequestId| state.export(id));
        exported.map_or_else(stream_not_found, |it| reply::ok(&it))
    }

    fn import(&self, request: &Request) -> Reply {
        let transfer: KvTransfer = match reply::parse_body(request) {
            Ok(transfer) => transfer,
            Err(error) => return error.into(),
        };
        let name = transfer.request_id.clone();
        match self.state.borrow_mut().import(transfer, self.clock.now()) {
            Ok(produced_tokens) => progress_reply(&name, Some(produced_tokens)),
            Err(error) => submit_error_reply(error),
        }
    }

    fn load_report(&self) -> Reply {
        let (load, age) = self.state.borrow().reported_load(self.clock.now());
        reply::ok(&LoadReport {
            running: load.running,
            waiting: load.waiting,
            paused: load.paused,
            kv_used_permille: load.kv_used_permille,
            step_us: load.last_step.as_micros() as u64,
            batch_max: load.batch_max,
            age_ms: age.as_millis() as u64,
            incarnation: self.settings.incarnation,
        })
    }

    fn cache_events(&self, request: &Request) -> Reply {
        let since = reply::query_value(request, "since").map_or(Ok(1), str::parse);
        let Ok(since) = since else {
            let message = "write since as the number that `next` gave";
            return reply::error(StatusCode::BAD_REQUEST, "bad-since", message);
        };
        let page = self.state.borrow().reported_cache_events(CacheSeq(since), self.clock.now());
        reply::ok(&CacheEventPage { events: page.events, next: page.next, gap: page.gap })
    }

    async fn apply_order(&self, request: &Request) -> Reply {
        let order: Order = match reply::parse_body(request) {
            Ok(order) => order,
            Err(error) => return error.into(),
        };
        if let Err(stale) = self.state.borrow().loaded_models.check_fencing(&order) {
            return reply::json(StatusCode::CONFLICT, &stale);
        }
        time::sleep(self.settings.order_work()).await;
        // A newer order may have been applied during the sleep.
        let mut state = self.state.borrow_mut();
        match state.loaded_models.apply(order) {
            Ok(()) => reply::ok(&state.loaded_models),
            Err(stale) => reply::json(StatusCode::CONFLICT, &stale),
        }
    }

    fn wake_driver(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.borrow_mut().try_send(());
    }
}

impl Service for EngineService {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        self.route(request).boxed_local()
    }

    fn stats(&self) -> Stats {
        self.state.borrow_mut().expire(self.clock.now());
        self.state.borrow().current_stats()
    }

    fn faults_changed(&self) {
        let slowdown_permille = self.injector.faults().slowdown_permille;
        self.state.borrow_mut().engine.set_slowdown_permille(slowdown_permille);
    }
}

fn progress_reply(name: &str, produced_tokens: Option<u32>) -> Reply {
    match produced_tokens {
        Some(produced_tokens) => reply::ok(&StreamReport { id: name, produced_tokens }),
        None => stream_not_found(),
    }
}

fn stream_not_found() -> Reply {
    let message = "no such stream: it has ended or was never here";
    reply::error(StatusCode::NOT_FOUND, "no-such-stream", message)
}

fn submit_error_reply(error: SubmitError) -> Reply {
    let message = error.to_string();
    match error {
        SubmitError::QueueFull => {
            reply::not_started(StatusCode::SERVICE_UNAVAILABLE, "queue-full", &message)
        }
        SubmitError::TooLarge => reply::not_started(StatusCode::BAD_REQUEST, "too-large", &message),
        // A request with this id may be running, so the reply must not say that it was not started.
        SubmitError::DuplicateId => {
            let body = json!({ "error": { "code": "duplicate-id", "message": message } });
            reply::json(StatusCode::CONFLICT, &body)
        }
    }
}
