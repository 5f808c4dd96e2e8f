//! Exchanges with the hub of the failure domain, once an interval.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use dissemination::{MemberState, QuarantineRow, Summary, decode_digest, encode_summary};
use rpc::Link;

/// What a router tells the hub and takes from it.
pub trait DomainMember {
    /// Fills a summary with what has happened since the last one.
    fn report(&self, held: &MemberState, empty: Summary) -> Summary;

    /// Takes the state after an exchange whose summary was sent at `sent`.
    fn apply_digest(&self, held: &MemberState, sent: Instant, quarantine: &[QuarantineRow]);
}

/// A router's part in the failure domain.
pub struct Domain {
    held: RefCell<MemberState>,
    exchanged: RefCell<Option<Instant>>,
    link: Link,
    clock: Rc<dyn Clock>,
}

/// Without an exchange for this long, the hub's word on the other routers is no longer used.
const STALE_AFTER: Duration = Duration::from_secs(6);

/// Above this many routers the interval doubles, so that a link stays within its budget.
const SMALL_DOMAIN_ROUTERS: usize = 16;

impl Domain {
    /// Starts exchanging under `name`.
    pub fn start(
        name: &str,
        link: Link,
        clock: Rc<dyn Clock>,
        interval: Duration,
        member: Rc<dyn DomainMember>,
    ) -> Rc<Domain> {
        let domain = Rc::new(Domain {
            held: RefCell::new(MemberState::new(name)),
            exchanged: RefCell::default(),
            link,
            clock,
        });
        monoio::spawn(domain.clone().run(interval, member));
        domain
    }

    /// Whether this router reads the load reports of the server at `addr`.
    ///
    /// While the hub cannot be reached, each router reads those of all servers.
    pub fn owns(&self, addr: std::net::SocketAddr) -> bool {
        if !self.is_fresh() {
            return true;
        }
        let held = self.held.borrow();
        let owner = dissemination::owner(held.routers(), addr);
        owner.is_none_or(|it| it == held.name())
    }

    fn is_fresh(&self) -> bool {
        let exchanged = *self.exchanged.borrow();
        exchanged.is_some_and(|at| self.clock.now().saturating_duration_since(at) < STALE_AFTER)
    }

    async fn run(self: Rc<Self>, interval: Duration, member: Rc<dyn DomainMember>) {
        loop {
            self.exchange(&*member).await;
            let is_small = self.held.borrow().routers().count() <= SMALL_DOMAIN_ROUTERS;
            monoio::time::sleep(if is_small { interval } else { 2 * interval }).await;
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
        let Ok(digest) = decode_digest(&digest) else {
            tracing::warn!(event = "digest_refused", remedy = "run one version in the domain");
            return;
        };
        let quarantine = self.held.borrow_mut().apply_digest(digest);
        self.exchanged.replace(Some(sent));
        member.apply_digest(&self.held.borrow(), sent, &quarantine);
    }
}
