//! One exchange with another router.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use futures::{FutureExt, StreamExt, pin_mut, select_biased, stream::FuturesUnordered};
use http::{HeaderMap, HeaderValue, Uri, header};
use httpio::{
    Limits, UnsizedBody,
    budget::ByteBudget,
    client::{Body, ClientError, Pool, PoolSettings, Request, Response, Stage},
    hold_piece,
    server::{Reply, StreamSender},
    signal::Signal,
    sse,
};
use monoio::time;
use policy::Repeat;
use telemetry::Secret;

use super::{Hop, hop::AnswerMark, listener::PING_PATH};
use crate::{
    deadline::run_until_deadline,
    outcome::{Failure, Outcome, REQUEST_ID_HEADER},
    routing::Routed,
    stop_deadline::StopDeadline,
};

const CONNECT_TIMEOUT_MS: u64 = 300;
/// The time without an answer after which the other router is asked whether it is still there.
const SILENCE: Duration = Duration::from_millis(500);
/// The timeout of that question.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// The time without an answer after which the next router is asked whether it is there.
const PING_INTERVAL: Duration = Duration::from_millis(50);
/// A router that is silent for longer with a request that must not run twice is given up; a VM may be
/// suspended for a shorter time.
const ORDER_SILENCE_MAX: Duration = Duration::from_secs(2);
const IDLE_PER_PEER: usize = 8;
const IDLE_AGE_MS: u64 = 5_000;
const PINGED_AGE_MS: u64 = 1_000;
/// The number of pieces of a stream that are buffered for a slow caller.
const BUFFERED_PIECES_MAX: usize = 8;

/// The connections to other routers.
pub(crate) struct PeerClient {
    vm: Rc<str>,
    token: Option<Secret>,
    pool: Pool,
    /// Connections on which a peer has just answered a question, for requests that must not run twice.
    pinged: Pool,
    /// The memory for peers' answers.
    memory: ByteBudget,
    clock: Rc<dyn Clock>,
}

/// Why a peer's answer did not arrive.
#[derive(Debug)]
pub(super) struct PeerError {
    pub(super) outcome: Outcome,
    pub(super) detail: String,
}

impl From<ClientError> for PeerError {
    fn from(error: ClientError) -> Self {
        let outcome = match error.stage {
            Stage::NotConnected | Stage::NothingSent => Outcome::NotRun,
            Stage::Sent | Stage::HeadReceived => Outcome::MayHaveRun,
        };
        PeerError { outcome, detail: format!("another router: {error}") }
    }
}

impl PeerClient {
    /// Creates a client without connections. Its answers are limited like those of backend servers, but a
    /// router always declares where its answer ends: one without that comes from a peer that died.
    pub(crate) fn new(
        vm: &str,
        token: Option<Secret>,
        limits: Limits,
        memory: ByteBudget,
        clock: Rc<dyn Clock>,
    ) -> PeerClient {
        let limits = Limits {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            unsized_body: UnsizedBody::Refused,
            ..limits
        };
        let pool = |idle_age_ms| {
            let settings = PoolSettings { limits, idle_per_server: IDLE_PER_PEER, idle_age_ms };
            Pool::new(settings, Rc::clone(&clock))
        };
        let (pool, pinged) = (pool(IDLE_AGE_MS), pool(PINGED_AGE_MS));
        PeerClient { vm: vm.into(), token, pool, pinged, memory, clock }
    }

    /// Sends a request to a peer; returns its reply, or the failure that it states.
    pub(super) async fn forward(
        &self,
        peer: SocketAddr,
        routed: &Routed,
        time_left: Duration,
        deadline: Instant,
        stop: &StopDeadline,
    ) -> Result<Result<Reply, Failure>, PeerError> {
        let silence_max = match routed.repeat() {
            Repeat::Idempotent => Duration::ZERO,
            Repeat::AtMostOnce => ORDER_SILENCE_MAX,
        };
        let mut heard = self.clock.now();
        let exchange = self.exchange(peer, routed, time_left).fuse();
        pin_mut!(exchange);
        let mut response = loop {
            let silence = time::sleep(SILENCE).fuse();
            pin_mut!(silence);
            select_biased! {
                response = exchange => break response?,
                () = silence => {}
            }
            let now = self.clock.now();
            if self.is_there(peer).await {
                heard = now;
            } else if now.saturating_duration_since(heard) >= silence_max {
                let detail = "another router fell silent".to_owned();
                return Err(PeerError { outcome: Outcome::MayHaveRun, detail });
            }
        };
        match AnswerMark::take(&mut response.head.headers) {
            AnswerMark::Failure => return read_failure(response).await.map(Err),
            // An earlier build answers any request on this path itself.
            AnswerMark::Unmarked if routed.arrival.request.uri.path() == PING_PATH => {
                let detail = "another router took the request for a ping".to_owned();
                return Err(PeerError { outcome: Outcome::NotRun, detail });
            }
            AnswerMark::Served | AnswerMark::Unmarked => {}
        }
        let disconnected = routed.arrival.request.disconnected.clone();
        let left = deadline.saturating_duration_since(self.clock.now());
        self.reply(response, peer, disconnected, left, stop.clone()).await.map(Ok)
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        routed: &Routed,
        time_left: Duration,
    ) -> Result<Response, ClientError> {
        let arrival = &routed.arrival;
        let mut headers = httpio::end_to_end(&arrival.request.headers);
        let id: &str = arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("a request ID is a valid header value");
        headers.insert(REQUEST_ID_HEADER, id);
        let (router, attempts) = (Rc::clone(&self.vm), routed.attempts.get());
        let hop = Hop { router, time_left, attempts, trace: Some(arrival.trace) };
        hop.write(&mut headers, self.token.as_ref().map(Secret::expose));
        let request = Request {
            method: arrival.request.method.clone(),
            uri: arrival.request.uri.clone(),
            headers,
            body: arrival.request.body.clone(),
        };
        match routed.repeat() {
            // The peer has just answered on the connection that was used last.
            Repeat::AtMostOnce => self.pinged.send(peer, request).await,
            Repeat::Idempotent => self.pool.send(peer, request).await,
        }
    }

    /// Passes the peer's answer on: a stream as it arrives, anything else once it is complete.
    async fn reply(
        &self,
        response: Response,
        peer: SocketAddr,
        disconnected: Signal,
        left: Duration,
        stop: StopDeadline,
    ) -> Result<Reply, PeerError> {
        let (status, headers) = (response.head.status, httpio::end_to_end(&response.head.headers));
        let content_type = headers.get(header::CONTENT_TYPE);
        if !content_type.is_some_and(|it| it.as_bytes().starts_with(sse::CONTENT_TYPE.as_bytes())) {
            let body = response.body.collect_within(&self.memory).await?;
            return Ok(Reply::whole(status, headers, body));
        }
        let (sender, reply) = Reply::stream(status, headers, BUFFERED_PIECES_MAX);
        let memory = self.memory.clone();
        let relayed = async move {
            // Dropping the body closes the connection, by which the peer learns that the caller has gone.
            let passed_on = pass_on(response.body, sender, memory);
            run_until_deadline(&disconnected, &stop, left, passed_on).await;
        };
        monoio::spawn(telemetry::contain("forwarded_stream", peer, relayed));
        Ok(reply)
    }

    /// Finds a peer that answers, so that a request which must not run twice is not handed to one that
    /// stands still.
    pub(super) async fn find_present(&self, peers: &[SocketAddr]) -> PresentPeer {
        let ask = async |peer| (peer, self.is_there(peer).await);
        let (mut asked, mut silent) = (FuturesUnordered::new(), Vec::new());
        let mut others = peers.iter();
        loop {
            match others.next() {
                Some(peer) => asked.push(ask(*peer)),
                None if asked.is_empty() => return PresentPeer { answered: None, silent },
                None => {}
            }
            let interval = time::sleep(PING_INTERVAL).fuse();
            pin_mut!(interval);
            select_biased! {
                (peer, is_there) = asked.select_next_some() => match is_there {
                    true => return PresentPeer { answered: Some(peer), silent },
                    false => silent.push(peer),
                },
                () = interval => {}
            }
        }
    }

    /// Whether a peer answers on a new connection. The connection is kept for a request that must not run
    /// twice.
    async fn is_there(&self, peer: SocketAddr) -> bool {
        let mut headers = HeaderMap::new();
        let hop = Hop {
            router: Rc::clone(&self.vm),
            time_left: Duration::ZERO,
            attempts: 0,
            trace: None,
        };
        hop.write(&mut headers, self.token.as_ref().map(Secret::expose));
        let request = Request { uri: Uri::from_static(PING_PATH), headers, ..Request::default() };
        let ping = async {
            let response = self.pinged.send_on_new_connection(peer, request).await?;
            let is_success = response.head.status.is_success();
            response.body.collect().await.map(|_| is_success)
        };
        let error = match time::timeout(PING_TIMEOUT, ping).await {
            Ok(Ok(is_success)) => return is_success,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer".to_owned(),
        };
        self.pool.close_idle(peer);
        tracing::info!(event = "peer_silent", %peer, detail = error);
        false
    }
}

/// A peer that answers, and those that were asked before it and did not.
pub(super) struct PresentPeer {
    pub(super) answered: Option<SocketAddr>,
    pub(super) silent: Vec<SocketAddr>,
}

async fn read_failure(response: Response) -> Result<Failure, PeerError> {
    let status = response.head.status;
    let body = response.body.collect().await?;
    Failure::from_json(status, &body).map_err(|error| PeerError {
        outcome: Outcome::MayHaveRun,
        detail: format!("the failure that another router states is unreadable: {error}"),
    })
}

/// Passes a stream on. If it breaks, the caller's connection is closed without the end of the stream.
async fn pass_on(mut body: Body, mut sender: StreamSender, memory: ByteBudget) {
    while let Some(piece) = body.next().await {
        match piece {
            Ok(data) => {
                let data = hold_piece(&memory, data).await;
                if sender.send(data).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::info!(event = "forwarded_stream_broken", detail = %error);
                return;
            }
        }
    }
    // Sending the end fails only if the caller has just disconnected.
    let _ = sender.finish().await;
}
