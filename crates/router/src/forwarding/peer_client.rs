//! One exchange with another router.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, Uri, header};
use httpio::{
    Limits,
    client::{Body, ClientError, Pool, PoolSettings, Request, Response, Stage},
    server::{Reply, StreamSender},
    signal::Signal,
    sse,
};
use monoio::time;
use telemetry::Secret;

use super::{Hop, hop, listener::PING_PATH};
use crate::{
    deadline::run_until_deadline,
    outcome::{Failure, Outcome, REQUEST_ID_HEADER},
    routing::Routed,
};

const CONNECT_TIMEOUT_MS: u64 = 300;
/// The time without an answer after which the other router is asked whether it is still there.
const SILENCE: Duration = Duration::from_millis(500);
/// The timeout of that question.
const PING_TIMEOUT_MS: u64 = 300;
const IDLE_PER_PEER: usize = 8;
const IDLE_AGE_MS: u64 = 5_000;
/// The number of pieces of a stream that are buffered for a slow caller.
const BUFFERED_PIECES_MAX: usize = 8;

/// The connections to other routers.
pub(crate) struct PeerClient {
    vm: Rc<str>,
    token: Option<Secret>,
    pool: Pool,
    ping_pool: Pool,
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
    /// Creates a client without connections. Its answers are limited like those of backend servers.
    pub(crate) fn new(
        vm: &str,
        token: Option<Secret>,
        limits: Limits,
        clock: Rc<dyn Clock>,
    ) -> PeerClient {
        let pool = |limits: Limits| {
            let limits = Limits { connect_timeout_ms: CONNECT_TIMEOUT_MS, ..limits };
            let settings =
                PoolSettings { limits, idle_per_server: IDLE_PER_PEER, idle_age_ms: IDLE_AGE_MS };
            Pool::new(settings, Rc::clone(&clock))
        };
        let ping_limits = Limits { head_timeout_ms: PING_TIMEOUT_MS, ..limits };
        let (pool, ping_pool) = (pool(limits), pool(ping_limits));
        PeerClient { vm: vm.into(), token, pool, ping_pool, clock }
    }

    /// Sends a request to a peer; returns its reply, or the failure that it states.
    pub(super) async fn forward(
        &self,
        peer: SocketAddr,
        routed: &Routed,
        time_left: Duration,
        deadline: Instant,
    ) -> Result<Result<Reply, Failure>, PeerError> {
        let exchange = self.exchange(peer, routed, time_left).fuse();
        pin_mut!(exchange);
        let response = loop {
            let silence = time::sleep(SILENCE).fuse();
            pin_mut!(silence);
            select_biased! {
                response = exchange => break response?,
                () = silence => {}
            }
            if !self.is_there(peer).await {
                let detail = "another router fell silent".to_owned();
                return Err(PeerError { outcome: Outcome::MayHaveRun, detail });
            }
        };
        if response.head.headers.contains_key(hop::FAILURE) {
            return read_failure(response).await.map(Err);
        }
        let disconnected = routed.arrival.request.disconnected.clone();
        let left = deadline.saturating_duration_since(self.clock.now());
        reply(response, disconnected, left).await.map(Ok)
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
        match routed.is_order() {
            // A kept connection may be closed while the order is on its way, which leaves its outcome open.
            true => self.pool.send_on_new_connection(peer, request).await,
            false => self.pool.send(peer, request).await,
        }
    }

    /// Whether a peer that is silent still answers on a new connection.
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
        match self.ping_pool.send_on_new_connection(peer, request).await {
            Ok(response) => response.head.status.is_success(),
            Err(error) => {
                self.pool.close_idle(peer);
                tracing::info!(event = "peer_silent", %peer, detail = %error);
                false
            }
        }
    }
}

async fn read_failure(response: Response) -> Result<Failure, PeerError> {
    let status = response.head.status;
    let body = response.body.collect().await?;
    Failure::from_json(status, &body).map_err(|error| PeerError {
        outcome: Outcome::MayHaveRun,
        detail: format!("the failure that another router states is unreadable: {error}"),
    })
}

/// Passes the peer's answer on: a stream as it arrives, anything else once it is complete.
async fn reply(
    response: Response,
    disconnected: Signal,
    left: Duration,
) -> Result<Reply, PeerError> {
    let (status, headers) = (response.head.status, httpio::end_to_end(&response.head.headers));
    let content_type = headers.get(header::CONTENT_TYPE);
    if !content_type.is_some_and(|it| it.as_bytes().starts_with(sse::CONTENT_TYPE.as_bytes())) {
        return Ok(Reply::whole(status, headers, response.body.collect().await?));
    }
    let (sender, reply) = Reply::stream(status, headers, BUFFERED_PIECES_MAX);
    monoio::spawn(async move {
        // Dropping the body closes the connection, by which the peer learns that the caller has gone.
        run_until_deadline(&disconnected, left, pass_on(response.body, sender)).await;
    });
    Ok(reply)
}

/// Passes a stream on. If it breaks, the caller's connection is closed without the end of the stream.
async fn pass_on(mut body: Body, mut sender: StreamSender) {
    while let Some(piece) = body.next().await {
        match piece {
            Ok(data) => {
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
