//! Forwards requests to another router while this one cannot reach the backend servers of their pool.
//!
//! A request takes one hop at most: what a router receives from another one it serves itself or refuses.
//! The peer admits and queues it like those of its own callers, and its answer is passed on unchanged. A
//! peer that cannot reach the servers either refuses at once, and another one is asked.

mod hop;
mod listener;
mod peer_client;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use dissemination::{DomainHash, Peer};
use futures::future::{FutureExt, LocalBoxFuture};
use http::StatusCode;
use httpio::server::Reply;
use policy::{PeerAnswer, PeerPlace, Peers, Repeat};

use self::peer_client::{PeerError, PresentPeer};
pub(crate) use self::{
    hop::Hop,
    listener::{ForwardListener, ForwardedHandler},
    peer_client::PeerClient,
};
use crate::{
    deadline::{Completion, run_until_deadline},
    fields::millis,
    outcome::{Code, Failure, Outcome},
    refusals,
    routing::Routed,
    services::Services,
};

/// Less time than this is not worth a hop.
const FORWARD_TIME_MIN: Duration = Duration::from_millis(5);

/// The other routers, and the connections to them.
pub(crate) struct Forwarder {
    peers: RefCell<Peers>,
    own_domain: DomainHash,
    client: PeerClient,
}

impl Forwarder {
    /// Creates a forwarder of the failure domain `own_domain` without peers.
    pub(crate) fn new(own_domain: &str, client: PeerClient, seed: u64) -> Forwarder {
        let own_domain = DomainHash::of(own_domain);
        Forwarder { peers: RefCell::new(Peers::new(seed)), own_domain, client }
    }

    /// Replaces the routers that may be asked.
    pub(crate) fn set_peers(&self, peers: impl Iterator<Item = Peer>) {
        let place = |it: Peer| match it.domain == self.own_domain {
            true => (it.addr, PeerPlace::OwnDomain),
            false => (it.addr, PeerPlace::OtherDomain),
        };
        self.peers.borrow_mut().replace(peers.map(place));
    }
}

/// Where a request comes from.
#[derive(Debug, Clone)]
pub(crate) enum Origin {
    /// From its caller.
    Caller,
    /// From another router, which received it from its caller.
    Router(Hop),
}

impl Origin {
    /// The attempts that may have run before the request came here.
    pub(crate) fn prior_attempts(&self) -> Rc<Cell<u32>> {
        match self {
            Origin::Caller => Rc::default(),
            Origin::Router(hop) => Rc::new(Cell::new(hop.attempts)),
        }
    }

    /// The router that forwarded the request.
    pub(crate) fn router(&self) -> Option<Rc<str>> {
        match self {
            Origin::Caller => None,
            Origin::Router(hop) => Some(Rc::clone(&hop.router)),
        }
    }
}

/// Serves a caller's request here, or through another router if this one cannot reach the servers.
///
/// # Errors
/// If the request is refused or fails.
pub(crate) async fn serve_or_forward(
    services: &Services,
    routed: &Routed,
    origin: &Origin,
    deadline: Instant,
    serve_here: LocalBoxFuture<'_, Result<Reply, Failure>>,
) -> Result<Reply, Failure> {
    if matches!(origin, Origin::Router(_)) {
        return serve_here.await;
    }
    let pool = &routed.pool().name;
    if !services.dispatcher.is_reachable_by(pool, routed.repeat()) {
        return match forward(services, routed, deadline, Outcome::NotRun).boxed_local().await {
            Some(result) => result,
            None => serve_here.await,
        };
    }
    match serve_here.await {
        Err(failure) if may_forward(services, routed, &failure) => {
            let forwarded = forward(services, routed, deadline, failure.outcome).boxed_local();
            forwarded.await.unwrap_or(Err(failure))
        }
        result => result,
    }
}

/// Whether a request that failed here may run at another router's servers.
fn may_forward(services: &Services, routed: &Routed, failure: &Failure) -> bool {
    let is_unreached = match failure.code {
        Code::Unreachable => true,
        Code::NoBackendServer | Code::BackendFailed => {
            !services.dispatcher.is_reachable_by(&routed.pool().name, routed.repeat())
        }
        _ => false,
    };
    let may_run = match failure.outcome {
        Outcome::NotRun => true,
        Outcome::MayHaveRun => is_repeatable(routed),
        Outcome::Ran => false,
    };
    is_unreached && may_run
}

/// Whether the request may run again, and has an attempt left.
fn is_repeatable(routed: &Routed) -> bool {
    !routed.is_order() && routed.attempts.get() <= routed.route().retries_max
}

/// Asks one peer after the other; `None` if none can serve the request, and it has not run there. What
/// earlier attempts may have done, `known`, is part of the outcome that the caller is told.
async fn forward(
    services: &Services,
    routed: &Routed,
    deadline: Instant,
    known: Outcome,
) -> Option<Result<Reply, Failure>> {
    let left = services.time_left(deadline);
    let disconnected = routed.arrival.request.disconnected.clone();
    let outcome = Cell::new(known);
    let asking = ask_peers(services, routed, deadline, &outcome);
    let result = match run_until_deadline(&disconnected, &services.stop, left, asking).await {
        Completion::Done(result) => result?,
        Completion::DeadlinePassed | Completion::CallerDisconnected => {
            Err(refusals::deadline_passed(outcome.get()))
        }
    };
    Some(result.map_err(|it| Failure { outcome: outcome.get().worse(it.outcome), ..it }))
}

/// As [`forward`]. `outcome` covers all attempts, also the one under way in case the deadline passes.
async fn ask_peers(
    services: &Services,
    routed: &Routed,
    deadline: Instant,
    outcome: &Cell<Outcome>,
) -> Option<Result<Reply, Failure>> {
    let (forwarder, pool) = (&services.forwarder, &routed.pool().name);
    let mut candidates = forwarder.peers.borrow_mut().candidates(services.clock.now(), pool);
    let mut unanswered = None;
    while let Some(peer) = next_peer(services, routed, &mut candidates).await {
        let started = services.clock.now();
        let time_left = services.time_left(deadline);
        if time_left < FORWARD_TIME_MIN {
            break;
        }
        let known = outcome.replace(Outcome::MayHaveRun);
        let answer =
            forwarder.client.forward(peer, routed, time_left, deadline, &services.stop).await;
        let is_asked_next = is_next_asked(&answer, routed);
        log_forwarded(services, routed, peer, started, &answer);
        let seen = if is_asked_next { PeerAnswer::Refused } else { PeerAnswer::Served };
        forwarder.peers.borrow_mut().record(services.clock.now(), peer, pool, seen);
        outcome.set(known.worse(outcome_of(&answer)));
        match answer {
            Ok(result) if !is_asked_next => return Some(result),
            Err(error) if !is_asked_next => return Some(Err(failed(&error))),
            Err(error) if error.outcome != Outcome::NotRun => {
                routed.attempts.set(routed.attempts.get() + 1);
                unanswered = Some(error);
            }
            Ok(_) | Err(_) => {}
        }
    }
    unanswered.map(|error| Err(failed(&error)))
}

/// Takes the peer to ask next from the candidates. One that is given a request which must not run twice has
/// just shown that it answers.
async fn next_peer(
    services: &Services,
    routed: &Routed,
    candidates: &mut Vec<SocketAddr>,
) -> Option<SocketAddr> {
    if routed.repeat() == Repeat::Idempotent {
        return (!candidates.is_empty()).then(|| candidates.remove(0));
    }
    let (forwarder, pool) = (&services.forwarder, &routed.pool().name);
    let PresentPeer { answered, silent } = forwarder.client.find_present(candidates).await;
    let now = services.clock.now();
    for peer in &silent {
        forwarder.peers.borrow_mut().record(now, *peer, pool, PeerAnswer::Refused);
    }
    candidates.retain(|it| Some(*it) != answered && !silent.contains(it));
    answered
}

/// What a peer's answer, or its lack, shows about the execution of the request.
fn outcome_of(answer: &Result<Result<Reply, Failure>, PeerError>) -> Outcome {
    match answer {
        Ok(Ok(_)) => Outcome::Ran,
        Ok(Err(failure)) => failure.outcome,
        Err(error) => error.outcome,
    }
}

/// Whether another peer may be asked after this answer.
fn is_next_asked(answer: &Result<Result<Reply, Failure>, PeerError>, routed: &Routed) -> bool {
    match answer {
        Ok(Ok(_)) => false,
        // The peer cannot serve the pool, or has other tables.
        Ok(Err(failure)) => {
            failure.outcome == Outcome::NotRun
                && matches!(
                    failure.code,
                    Code::NoBackendServer
                        | Code::Unreachable
                        | Code::NoRoute
                        | Code::UnknownToken
                        | Code::ClassNotAllowed
                )
        }
        Err(error) => error.outcome == Outcome::NotRun || is_repeatable(routed),
    }
}

fn failed(error: &PeerError) -> Failure {
    let message = format!("{}; check what it did before sending it anew", error.detail);
    Failure {
        status: StatusCode::BAD_GATEWAY,
        code: Code::BackendFailed,
        message,
        outcome: error.outcome,
        retry_after: None,
    }
}

fn log_forwarded(
    services: &Services,
    routed: &Routed,
    peer: SocketAddr,
    started: Instant,
    answer: &Result<Result<Reply, Failure>, PeerError>,
) {
    let (result, detail) = match answer {
        Ok(Ok(reply)) => ("answered", reply.status.as_u16().to_string()),
        Ok(Err(failure)) => ("refused", failure.to_string()),
        Err(error) => ("failed", error.detail.clone()),
    };
    let outcome = outcome_of(answer);
    let (class, pool) = (&routed.route().class, &routed.pool().name);
    services.metrics.record_forwarded(pool, result);
    tracing::info!(
        event = "forwarded",
        trace_id = %routed.arrival.trace.trace_id,
        request_id = %routed.arrival.id,
        class,
        pool,
        %peer,
        result,
        %outcome,
        took_ms = millis(services.clock.now().saturating_duration_since(started)),
        detail,
    );
}

/// This router as a peer of others; `None` if it has no listener for them.
pub(crate) fn own_peer(addr: Option<SocketAddr>, failure_domain: &str) -> Option<Peer> {
    addr.map(|addr| Peer { addr, domain: DomainHash::of(failure_domain) })
}
