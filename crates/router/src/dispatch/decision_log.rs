//! Log lines of what a pool's scheduler decides about servers, requests and parts of prompts.

use std::{net::SocketAddr, time::Instant};

use policy::{PartChange, QuarantineEvent, ReachChange, RequestRate, Scheduler};

use super::server_list::ServerList;
use crate::{fields::millis, fingerprint::Fingerprint};

/// The number of suspects of a crash that the log names.
const LOGGED_SUSPECTS_MAX: usize = 16;

/// Logs what has changed in the pool since the last call.
pub(super) fn log_changes(
    scheduler: &mut Scheduler,
    now: Instant,
    pool: &str,
    servers: &ServerList,
) {
    let reach_change = scheduler.pool(pool).and_then(|it| scheduler.take_reach_change(it));
    if let Some(change) = reach_change {
        log_reach(now, change, pool);
    }
    for event in scheduler.take_quarantine_events() {
        log_quarantine(event, pool, servers);
    }
    for change in scheduler.take_part_changes() {
        log_part(change, pool);
    }
    for change in scheduler.take_failing_changes() {
        tracing::info!(
            event = "server_failing",
            pool,
            server = servers.find_by_key(change.backend).map(|it| it.addr.to_string()),
            is_failing = change.is_failing,
            failed_share = change.failed_share,
        );
    }
}

/// Logs that the rate limit of a server has changed.
pub(super) fn log_limit(server: SocketAddr, rate: Option<RequestRate>, source: &str) {
    let limit_per_s = rate.map(RequestRate::per_second);
    tracing::info!(event = "server_limit", %server, limit_per_s, source);
}

fn log_quarantine(event: QuarantineEvent, pool: &str, servers: &ServerList) {
    match event {
        QuarantineEvent::Crashed { backend, suspects } => {
            let named = suspects.iter().take(LOGGED_SUSPECTS_MAX);
            let fingerprints: Vec<_> = named.map(|it| Fingerprint(*it).to_string()).collect();
            tracing::info!(
                event = "server_crashed",
                pool,
                server = servers.find_by_key(backend).map(|it| it.addr.to_string()),
                suspects = suspects.len(),
                fingerprints = fingerprints.join(","),
            );
        }
        QuarantineEvent::Quarantined { request_hash, crashes } => tracing::warn!(
            event = "request_quarantined",
            pool,
            fingerprint = %Fingerprint(request_hash),
            crashes,
        ),
        QuarantineEvent::Cleared { request_hash } => tracing::info!(
            event = "suspect_cleared",
            pool,
            fingerprint = %Fingerprint(request_hash),
        ),
    }
}

fn log_reach(now: Instant, change: ReachChange, pool: &str) {
    let last_answer = change.last_answer.map(|it| now.saturating_duration_since(it));
    tracing::warn!(
        event = "pool_reach",
        pool,
        is_reachable = change.is_reachable,
        down_servers = change.down_servers,
        last_answer_ms = last_answer.map(millis),
    );
}

fn log_part(change: PartChange, pool: &str) {
    match change {
        PartChange::Refused { part, crashes } => {
            tracing::warn!(event = "part_refused", pool, part = format!("{part:x}"), crashes);
        }
        PartChange::Cleared { part } => {
            tracing::warn!(event = "part_cleared", pool, part = format!("{part:x}"));
        }
    }
}
