//! Servers that crash before many routers, in virtual time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    Hub, HubSettings, MemberState, Summary, decode_digest, decode_summary, encode_digest,
    encode_summary,
};
use policy::{
    Action, BackendEntry, BackendKey, ClassSpec, Execution, Failure, Offer, OtherLoad, Outcome,
    Pacing, PermitSource, PoolKey, PoolSpec, ProbeResult, Repeat, RetryDecision, Scheduler,
    Settings, Spec, Ticket, WorkspaceSpec,
};

/// Sizes of a fleet of routers.
const SIZES: [usize; 3] = [30, 100, 300];
const HUBS: usize = 5;
const SERVERS: usize = 160;
const CRASHED: usize = 40;
const CRASH_MS: u64 = 2_000;
const RETURN_MS: u64 = 8_000;
/// A second after the crashed servers are back.
const COUNTED_FROM_MS: u64 = 9_000;
const END_MS: u64 = 11_000;
const TICK_MS: u64 = 10;
const EXCHANGE_MS: u64 = 500;
const SHARE_MS: u64 = 250;
const ANSWER_MS: u64 = 60;
/// All requests together: two a second for each server.
const REQUESTS_PER_S: usize = 2 * SERVERS;
/// The requests to the servers that had crashed, if all are used alike.
const RETURNED_SHARE: usize =
    REQUESTS_PER_S * (END_MS - COUNTED_FROM_MS) as usize / 1_000 * CRASHED / SERVERS;
/// Routers prefer servers to which they keep a connection, so the others get this part of their share at least.
const RETURNED_PART_DIVISOR: usize = 8;
/// Requests that a crashed server costs in the time until all routers know: three exchanges, and what two
/// routers find out.
const FAILED_PER_CRASH_MAX: usize = 5;

struct Router {
    scheduler: Scheduler,
    pool: PoolKey,
    servers: Vec<BackendKey>,
    state: MemberState,
    running: Vec<(u64, Ticket)>,
    /// The requests sent to servers that crash at some time.
    sent_to_crashed: usize,
}

fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], server as u16))
}

fn is_up(server: usize, now_ms: u64) -> bool {
    server >= CRASHED || !(CRASH_MS..RETURN_MS).contains(&now_ms)
}

impl Router {
    fn new(idx: usize, now: Instant) -> Router {
        let mut scheduler = Scheduler::new(Settings {
            seed: idx as u64,
            permits: PermitSource::Hub,
            others: OtherLoad::Decaying,
            pacing: Pacing::Off,
            ..Settings::default()
        });
        let class = ClassSpec { name: "read".to_owned(), ..ClassSpec::default() };
        let pool = PoolSpec { name: "pool".to_owned(), slots: 64, ..PoolSpec::default() };
        let workspace = WorkspaceSpec { name: "north".to_owned(), ..WorkspaceSpec::default() };
        let (classes, pools, workspaces) = (vec![class], vec![pool], vec![workspace]);
        let spec = Spec { revision: 1, classes, pools, workspaces };
        scheduler.configure(spec).expect("the spec is valid");
        let pool = scheduler.pool("pool").expect("the spec names the pool");
        let mut list = |server| {
            let entry = BackendEntry { name: &format!("s{server}"), pool, incarnation: 1 };
            scheduler.backend_live(now, &entry).expect("the pool is known")
        };
        let servers = (0..SERVERS).map(&mut list).collect();
        let state = MemberState::new(&format!("router-{idx}"));
        Router { scheduler, pool, servers, state, running: Vec::new(), sent_to_crashed: 0 }
    }

    fn offer(&mut self, now: Instant, request_hash: u64) {
        let offer = Offer {
            class: self.scheduler.class("read").expect("the spec names the class"),
            workspace: self.scheduler.workspace("north").expect("the spec names the workspace"),
            pool: self.pool,
            prefix_hash: 0,
            request_hash,
            max_tokens: None,
            repeat: Repeat::Idempotent,
        };
        self.scheduler.offer(now, offer).expect("the pool has room");
    }

    /// Carries out the actions; returns how many requests reached a server that is down.
    fn run(&mut self, now: Instant, now_ms: u64) -> usize {
        let due = self.running.extract_if(.., |it| it.0 <= now_ms).collect::<Vec<_>>();
        for (_, ticket) in due {
            self.scheduler.finished(ticket, now, Outcome::Complete { tokens: 1 });
        }
        let mut failed = 0;
        for action in self.scheduler.poll(now) {
            match action {
                Action::Dispatch { ticket, backend } if is_up(self.position(backend), now_ms) => {
                    self.sent_to_crashed += usize::from(self.position(backend) < CRASHED);
                    self.running.push((now_ms + ANSWER_MS, ticket));
                }
                Action::Dispatch { ticket, .. } => {
                    failed += 1;
                    let outcome = Outcome::Failed(Failure::ConnectRefused, Execution::NotRun);
                    let decision = self.scheduler.retry(ticket, outcome, now);
                    assert!(matches!(decision, RetryDecision::Retry { .. }), "{decision:?}");
                }
                Action::Probe { backend } => {
                    let is_up = is_up(self.position(backend), now_ms);
                    let result = if is_up { ProbeResult::Alive } else { ProbeResult::Dead };
                    self.scheduler.probe_result(backend, now, result);
                }
                _ => {}
            }
        }
        failed
    }

    fn position(&self, backend: BackendKey) -> usize {
        self.servers.iter().position(|it| *it == backend).expect("a listed server")
    }

    fn exchange(&mut self, now: Instant, hub: &mut Hub) {
        let down = self.scheduler.down_servers(self.pool).into_iter();
        let down = down.map(|it| self.state.server_ref(addr(self.position(it)))).collect();
        let summary = Summary { down, ..self.state.empty_summary() };
        let summary = decode_summary(&encode_summary(&summary)).expect("encoded messages decode");
        let digest = encode_digest(&hub.exchange(now, summary));
        self.state.apply_digest(decode_digest(&digest).expect("encoded messages decode"));
        let down = self.state.down().map(|it| self.servers[usize::from(it.port())]);
        self.scheduler.set_reported_down(now, self.pool, &down.collect::<Vec<_>>());
    }
}

/// Plays a crash of a quarter of the servers. Returns how many requests reached a server that was down, and
/// how many the crashed servers got from [`COUNTED_FROM_MS`] on.
fn play(routers: usize) -> (usize, usize) {
    let start = Instant::now();
    let new_hub = |epoch| Hub::new(HubSettings { epoch, ..HubSettings::default() });
    let mut hubs: Vec<_> = (1..=HUBS as u64).map(new_hub).collect();
    let mut fleet: Vec<_> = (0..routers).map(|it| Router::new(it, start)).collect();
    let (mut failed, mut sent) = (0, 0);
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        while sent < REQUESTS_PER_S * now_ms as usize / 1_000 {
            sent += 1;
            fleet[sent * 7 % routers].offer(now, sent as u64);
        }
        if now_ms.is_multiple_of(SHARE_MS) {
            for hub in 0..HUBS {
                let down = hubs[hub].own_down(now);
                for other in (0..HUBS).filter(|it| *it != hub) {
                    hubs[other].update_hub_down(now, hub as u64, down.clone());
                }
            }
        }
        for (idx, router) in fleet.iter_mut().enumerate() {
            if (now_ms + idx as u64 * 70).is_multiple_of(EXCHANGE_MS) {
                router.exchange(now, &mut hubs[idx % HUBS]);
            }
            failed += router.run(now, now_ms);
        }
        if now_ms == COUNTED_FROM_MS {
            fleet.iter_mut().for_each(|it| it.sent_to_crashed = 0);
        }
    }
    let returned = fleet.iter().map(|it| it.sent_to_crashed).sum();
    (failed, returned)
}

/// Guards against each router finding out by requests of its own that a server is down.
#[test]
fn found_once() {
    for routers in SIZES {
        let (failed, returned) = play(routers);
        println!("{routers} routers: {failed} requests at {CRASHED} servers that were down");
        assert!(failed <= CRASHED * FAILED_PER_CRASH_MAX, "{routers} routers: {failed}");
        let least = RETURNED_SHARE / RETURNED_PART_DIVISOR;
        assert!(returned >= least, "{routers} routers: {returned} after the return");
    }
}
