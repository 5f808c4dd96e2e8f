//! Exchanges state with the hub of the failure domain at a fixed interval.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use dissemination::{CrashRows, MemberState, Summary, decode_digest, encode_summary};
use futures::{
    FutureExt, StreamExt,
    channel::{mpsc, oneshot},
    pin_mut, select_biased,
};
use rpc::Link;
use telemetry::Throttle;

/// The data that a router exchanges with the hub.
pub trait DomainMember {
    /// Fills a summary with what has changed since the last one.
    fn report(&self, held: &MemberState, empty: Summary) -> Summary;

    /// Applies the state after an exchange whose summary was sent at `sent`.
    fn apply_digest(&self, held: &MemberState, sent: Instant, suspects: &CrashRows);
}

/// A router's membership of its failure domain.
pub struct Domain {
    held: RefCell<MemberState>,
    /// When the summary of the last successful exchange was sent.
    exchanged_at: RefCell<Option<Instant>>,
    link: Link,
    clock: Rc<dyn Clock>,
    /// Those that wait for the end of the next exchange.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Ends the pause before the next exchange.
    wake: RefCell<mpsc::Sender<()>>,
    unreadable: Throttle,
}

/// Without an exchange for this long, the hub's data on the other routers are no longer used.
const STALE_AFTER: Duration = Duration::from_secs(6);

/// The time between two log lines about digests of a build that writes forms unknown to this one.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Above this many routers the interval doubles, so that a link stays within its bandwidth budget.
const SMALL_DOMAIN_ROUTERS_MAX: usize = 16;

impl Domain {
    /// Starts the exchanges of a router, beginning with the state `held`.
    pub fn start(
        held: MemberState,
        link: Link,
        clock: Rc<dyn Clock>,
        interval: Duration,
        member: Rc<dyn DomainMember>,
    ) -> Rc<Domain> {
        let (wake, woken) = mpsc::channel(0);
        let domain = Rc::new(Domain {
            held: RefCell::new(held),
            exchanged_at: RefCell::default(),
            link,
            clock,
            waiters: RefCell::default(),
            wake: RefCell::new(wake),
            unreadable: Throttle::new(UNREADABLE_LOG_INTERVAL),
        });
        monoio::spawn(domain.clone().run(interval, member, woken));
        domain
    }

    /// Exchanges with the hub at once and waits until that has ended, whether or not the hub
    /// answered. Several calls share an exchange that has not begun yet.
    pub async fn exchange_now(&self) {
        let (sender, ended) = oneshot::channel();
        self.waiters.borrow_mut().push(sender);
        // If the channel is full, the pause is about to end anyway.
        let _ = self.wake.borrow_mut().try_send(());
        // The sender is dropped only with the domain.
        let _ = ended.await;
    }

    /// Whether this router reads the load reports of the server at `addr`.
    ///
    /// While the hub cannot be reached, each router reads the load reports of all servers.
    pub fn owns(&self, addr: std::net::SocketAddr) -> bool {
        if !self.is_fresh() {
            return true;
        }
        let held = self.held.borrow();
        let owner = dissemination::owner(held.routers(), addr);
        owner.is_none_or(|it| it == held.name())
    }

    /// The number of routers that exchange with the same hub.
    pub fn router_count(&self) -> usize {
        self.held.borrow().routers().count()
    }

    /// Whether the hub has answered lately.
    pub fn is_fresh(&self) -> bool {
        let exchanged_at = *self.exchanged_at.borrow();
        exchanged_at.is_some_and(|at| self.clock.now().saturating_duration_since(at) < STALE_AFTER)
    }

    async fn run(
        self: Rc<Self>,
        interval: Duration,
        member: Rc<dyn DomainMember>,
        mut woken: mpsc::Receiver<()>,
    ) {
        loop {
            let waiters = self.waiters.take();
            // This exchange serves the waiters that asked for one until now.
            let _ = woken.next().now_or_never();
            self.exchange(&*member).await;
            for waiter in waiters {
                // The waiter may have given up.
                let _ = waiter.send(());
            }
            let is_small = self.router_count() <= SMALL_DOMAIN_ROUTERS_MAX;
            let pause = monoio::time::sleep(if is_small { interval } else { 2 * interval }).fuse();
            pin_mut!(pause);
            select_biased! {
                _ = woken.next() => {}
                () = pause => {}
            }
        }
    }

    async fn exchange(&self, member: &dyn DomainMember) {
        let Ok(client) = self.link.client() else { return };
        let summary = {
            let held = self.held.borrow();
            member.report(&held, held.empty_summary())
        };
        let sent = self.clock.now();
        let Ok(digest) = client.exchange(&encode_summary(&summary)).await else { return };
        let digest = match decode_digest(&digest) {
            Ok(digest) => digest,
            Err(err) => {
                if let Some(suppressed) = self.unreadable.record(self.clock.now()) {
                    tracing::warn!(event = "digest_refused", addr = %client.addr(), %err, suppressed);
                }
                return;
            }
        };
        let suspects = self.held.borrow_mut().apply_digest(digest);
        self.exchanged_at.replace(Some(sent));
        member.apply_digest(&self.held.borrow(), sent, &suspects);
    }
}
