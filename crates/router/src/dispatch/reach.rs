//! Notices that this router is cut off from all backend servers.
//!
//! A server that crashes and a path that is cut look the same at one server. So before a crash is
//! recorded, and while requests are in flight and nothing arrives from any server, servers of all pools
//! are probed. If none answers, all count as unreachable until a probe succeeds.

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use clock::Clock;
use futures::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, Shared},
    pin_mut, select_biased,
    stream::FuturesUnordered,
};
use httpio::signal::{self, Signal, Trigger};
use monoio::time;
use policy::SilenceWatch;

use super::{ProbeTarget, Prober, pool_dispatcher::PoolDispatcher};
use crate::fields::millis;

/// The number of servers that are probed first: one that answers is enough.
const FIRST_PROBES: usize = 2;
/// The number of servers that are probed if none of the first answers.
const FURTHER_PROBES: usize = 6;
/// The time without an answer of the first after which the others are probed too.
const FURTHER_AFTER: Duration = Duration::from_millis(250);

/// What this router knows about its paths to the servers of all pools.
pub(super) struct Reach {
    clock: Rc<dyn Clock>,
    prober: Rc<dyn Prober>,
    pools: RefCell<Vec<Weak<PoolDispatcher>>>,
    watch: RefCell<SilenceWatch>,
    is_watching: Cell<bool>,
    /// The number of the server with which the next choice of servers to probe begins.
    next_probed: Cell<usize>,
    cut_off: RefCell<(Option<Trigger>, Signal)>,
    /// Whether nothing was heard from any server since this router was found to be cut off.
    is_cut_off: Cell<bool>,
    /// The check under way.
    check: RefCell<Option<SharedCheck>>,
}

/// A check that several requests wait for.
type SharedCheck = Shared<LocalBoxFuture<'static, bool>>;

/// An attempt at a server that has not ended.
pub(super) struct AttemptInFlight(Rc<Reach>);

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0.watch.borrow_mut().attempt_ended();
    }
}

impl Reach {
    pub(super) fn new(clock: Rc<dyn Clock>, prober: Rc<dyn Prober>) -> Rc<Reach> {
        Rc::new(Reach {
            clock,
            prober,
            pools: RefCell::default(),
            watch: RefCell::default(),
            is_watching: Cell::new(false),
            next_probed: Cell::new(0),
            cut_off: RefCell::new(new_signal()),
            is_cut_off: Cell::new(false),
            check: RefCell::default(),
        })
    }

    pub(super) fn add_pool(&self, pool: &Rc<PoolDispatcher>) {
        self.pools.borrow_mut().push(Rc::downgrade(pool));
    }

    /// Records that an attempt has been sent.
    pub(super) fn attempt_began(self: &Rc<Self>) -> AttemptInFlight {
        self.watch.borrow_mut().attempt_began(self.clock.now());
        if !self.is_watching.replace(true) {
            monoio::spawn(watch_silence(Rc::downgrade(self)));
        }
        AttemptInFlight(Rc::clone(self))
    }

    /// Records that a server has sent data, also in answer to a probe.
    pub(super) fn heard(&self) {
        self.is_cut_off.set(false);
        self.watch.borrow_mut().heard(self.clock.now());
    }

    /// Raised when this router is next found to be cut off.
    pub(super) fn cut_off(&self) -> Signal {
        self.cut_off.borrow().1.clone()
    }

    /// Waits for the end of the check that is under way, if there is one.
    pub(super) async fn await_check(&self) {
        let under_way = self.check.borrow().clone();
        if let Some(check) = under_way {
            check.await;
        }
    }

    /// Whether a server that was reset and does not answer shows that this router is cut off, rather than
    /// that the server crashed: none of `others`, which were reachable when the connection broke, answers a
    /// probe. Several connections that break at once share one check.
    pub(super) async fn is_cut_off(self: &Rc<Self>, others: Vec<ProbeTarget>) -> bool {
        if self.is_cut_off.get() {
            return true;
        }
        let under_way = self.check.borrow().clone();
        let check = under_way.unwrap_or_else(|| self.start_check(others));
        check.await
    }

    fn start_check(self: &Rc<Self>, targets: Vec<ProbeTarget>) -> SharedCheck {
        let reach = Rc::clone(self);
        let check = async move {
            let is_cut_off = reach.check(targets).await;
            reach.check.replace(None);
            is_cut_off
        };
        let check = check.boxed_local().shared();
        self.check.replace(Some(check.clone()));
        // The check ends even if no request waits for it any more.
        monoio::spawn(check.clone());
        check
    }

    /// Probes servers; if none answers, marks all as unreachable. Without a server to ask, the router does
    /// not count as cut off.
    async fn check(&self, mut targets: Vec<ProbeTarget>) -> bool {
        targets.truncate(FIRST_PROBES + FURTHER_PROBES);
        if targets.is_empty() || self.any_answers(&targets).await {
            return false;
        }
        self.mark_cut_off(targets.len());
        true
    }

    fn mark_cut_off(&self, probed: usize) {
        let silent_for = self.watch.borrow().silent_for(self.clock.now());
        tracing::warn!(event = "cut_off", probed, silent_ms = silent_for.map(millis));
        self.is_cut_off.set(true);
        for pool in self.live_pools() {
            pool.mark_unreachable();
        }
        let (trigger, _) = self.cut_off.replace(new_signal());
        if let Some(trigger) = trigger {
            trigger.raise();
        }
    }

    /// Whether one of the servers answers. Most are probed only if the first ones do not answer soon.
    async fn any_answers(&self, targets: &[ProbeTarget]) -> bool {
        let (first, further) = targets.split_at(targets.len().min(FIRST_PROBES));
        let probe = |it: &ProbeTarget| self.prober.is_reachable(it);
        let mut probes: FuturesUnordered<_> = first.iter().map(probe).collect();
        let mut further = Some(further);
        let delay = time::sleep(FURTHER_AFTER).fuse();
        pin_mut!(delay);
        loop {
            let answer = select_biased! {
                answer = probes.next() => answer,
                () = delay => None,
            };
            match answer {
                Some(true) => return true,
                Some(false) => {}
                None => match further.take() {
                    Some(further) => probes.extend(further.iter().map(probe)),
                    None if probes.is_empty() => return false,
                    None => {}
                },
            }
        }
    }

    /// The servers that count as reachable, those of the pools by turns and another one first each time.
    pub(super) fn probe_targets(&self) -> Vec<ProbeTarget> {
        let start = self.next_probed.get();
        self.next_probed.set(start.wrapping_add(1));
        let mut pools: Vec<_> = self.live_pools().iter().map(|it| it.probe_targets()).collect();
        for targets in &mut pools {
            let first = start.checked_rem(targets.len()).unwrap_or_default();
            targets.rotate_left(first);
        }
        let ranks = pools.iter().map(Vec::len).max().unwrap_or_default();
        let by_rank = (0..ranks).flat_map(|rank| pools.iter().filter_map(move |it| it.get(rank)));
        by_rank.cloned().collect()
    }

    fn live_pools(&self) -> Vec<Rc<PoolDispatcher>> {
        self.pools.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    /// The time until servers are to be probed; `None` while no attempt is in flight.
    fn time_to_probe(&self) -> Option<Duration> {
        let due = self.watch.borrow().probe_due()?;
        Some(due.saturating_duration_since(self.clock.now()))
    }

    async fn probe_in_silence(self: &Rc<Self>) {
        self.watch.borrow_mut().probed(self.clock.now());
        let targets = self.probe_targets();
        if !targets.is_empty() {
            self.is_cut_off(targets).await;
        }
        self.watch.borrow_mut().probed(self.clock.now());
    }
}

fn new_signal() -> (Option<Trigger>, Signal) {
    let (trigger, signal) = signal::signal();
    (Some(trigger), signal)
}

/// Probes servers whenever nothing arrives for too long, until no attempt is in flight.
async fn watch_silence(reach: Weak<Reach>) {
    loop {
        let Some(reach) = reach.upgrade() else { return };
        match reach.time_to_probe() {
            None => {
                reach.is_watching.set(false);
                return;
            }
            Some(Duration::ZERO) => reach.probe_in_silence().await,
            Some(wait) => {
                drop(reach);
                time::sleep(wait).await;
            }
        }
    }
}
