//! Invariants of classes under arbitrary arrivals, completions, cancellations and capacities:
//! streams are paused only for more urgent requests, and no class starves.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use fixture::{Fixture, class, load_report};
use policy::{Action, BackendKey, ClassCounts, ClassKey, RefusalReason, Ticket};
use proptest::prelude::*;

const CLASSES: [(&str, u8, u32); 4] =
    [("summary", 0, 50), ("draft", 1, 100), ("chat", 5, 100), ("dawn", 9, 100)];
const SERVERS: usize = 2;
const SLOTS: u32 = 4;
const QUEUE_LIMIT: usize = 12;

#[derive(Debug, Clone, Copy)]
enum Step {
    Offer(usize),
    Finish(usize),
    Cancel(usize),
    Slots(usize, u32),
    Stream,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..CLASSES.len()).prop_map(Step::Offer),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..SERVERS, 1..=SLOTS).prop_map(|it| Step::Slots(it.0, it.1)),
        3 => Just(Step::Stream),
        3 => (1..4_000_u64).prop_map(Step::Advance),
    ]
}

struct Model {
    fixture: Fixture,
    class_of: BTreeMap<Ticket, usize>,
    running: Vec<(Ticket, BackendKey)>,
    /// Requests that have received a token, so they hold a slot of the engine.
    started: BTreeSet<Ticket>,
    /// Dispatches of other classes since each class with work was last served.
    dispatches_since: [u32; CLASSES.len()],
}

impl Model {
    fn new() -> Self {
        let classes = CLASSES.map(|(name, priority, share)| class(name, priority, share)).to_vec();
        let mut spec = fixture::spec(classes, SLOTS);
        spec.pools[0].queue_limit = QUEUE_LIMIT;
        Self {
            fixture: Fixture::with(policy::Settings::default(), spec, SERVERS),
            class_of: BTreeMap::new(),
            running: Vec::new(),
            started: BTreeSet::new(),
            dispatches_since: [0; CLASSES.len()],
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer(idx) => {
                if let Ok(ticket) = self.fixture.try_offer(CLASSES[idx].0, "a") {
                    self.class_of.insert(ticket, idx);
                }
            }
            Step::Finish(idx) => self.end_request(idx, Fixture::finish),
            Step::Cancel(idx) => {
                self.end_request(idx, |fixture, it| fixture.scheduler.cancelled(it))
            }
            Step::Slots(server, slots) => {
                let (key, now) = (self.fixture.backends[server], self.fixture.now);
                let running = self.fixture.scheduler.in_flight(key);
                self.fixture.scheduler.load_report(now, key, &load_report(1, running, slots));
            }
            Step::Stream => {
                let tickets: Vec<_> = self.running.iter().map(|it| it.0).collect();
                self.fixture.stream_tokens(&tickets, 40, 2);
                self.started.extend(tickets);
            }
            Step::Advance(millis) => self.fixture.advance(millis),
        }
    }

    fn end_request(&mut self, idx: usize, end: impl Fn(&mut Fixture, Ticket)) {
        if self.running.is_empty() {
            return;
        }
        let (ticket, _) = self.running.remove(idx % self.running.len());
        end(&mut self.fixture, ticket);
    }

    fn key(&self, idx: usize) -> ClassKey {
        self.fixture.scheduler.class(CLASSES[idx].0).expect("the class is in the spec")
    }

    fn class_counts(&self, idx: usize) -> ClassCounts {
        self.fixture.scheduler.class_counts(self.key(idx), self.fixture.pool)
    }

    fn has_work(&self, idx: usize) -> bool {
        let counts = self.class_counts(idx);
        counts.waiting + counts.paused > 0
    }

    /// The number of lower-class streams on `servers` that could have been paused for a usable
    /// slot.
    fn lower_pausable_streams(&self, class: usize, servers: &[BackendKey]) -> usize {
        let lower = self.running.iter().filter(|(ticket, key)| {
            let is_usable = !self.fixture.scheduler.is_straggler(*key);
            is_usable
                && servers.contains(key)
                && self.started.contains(ticket)
                && self.class_of[ticket] < class
        });
        let guaranteed: usize = (0..class).map(|it| self.class_counts(it).guaranteed).sum();
        lower.count().saturating_sub(guaranteed)
    }

    fn check_poll(&mut self) -> Result<(), TestCaseError> {
        let actions = self.fixture.poll();
        for (idx, action) in actions.iter().enumerate() {
            match action {
                Action::Dispatch { ticket, backend } | Action::Resume { ticket, backend } => {
                    self.running.push((*ticket, *backend));
                    self.check_starvation(self.class_of[ticket])?;
                }
                Action::Pause { ticket, backend } => {
                    self.running.retain(|it| it.0 != *ticket);
                    self.check_pause(*ticket, *backend, actions.get(idx + 1))?;
                }
                Action::Refuse { ticket, refusal } => {
                    self.check_refusal(*ticket, refusal.reason)?;
                }
                other => prop_assert!(false, "unexpected action {other:?}"),
            }
        }
        for (idx, action) in actions.iter().enumerate() {
            let Action::Pause { ticket, backend } = action else { continue };
            let is_dispatched_now = matches!(actions.get(idx + 1), Some(Action::Dispatch { .. }));
            // A request that is already at a server needs a slot there; another one may use any
            // slot.
            let servers = if is_dispatched_now { &self.fixture.backends[..] } else { &[*backend] };
            let lower = self.lower_pausable_streams(self.class_of[ticket], servers);
            prop_assert_eq!(lower, 0, "a stream of a still lower class was not paused");
        }
        Ok(())
    }

    /// Checks that the next action uses the slot, or that a request at the server waits for it.
    fn check_pause(
        &self,
        victim: Ticket,
        slot: BackendKey,
        next: Option<&Action>,
    ) -> Result<(), TestCaseError> {
        let is_higher = |it: &Ticket| self.class_of[it] > self.class_of[&victim];
        if let Some(Action::Dispatch { ticket, backend }) = next
            && *backend == slot
        {
            prop_assert!(is_higher(ticket));
            return Ok(());
        }
        let mut on_server = self.running.iter().filter(|it| it.1 == slot);
        let is_waiting = on_server.any(|it| is_higher(&it.0) && !self.started.contains(&it.0));
        prop_assert!(
            is_waiting,
            "a stream was paused although no more urgent request needs the slot"
        );
        Ok(())
    }

    /// Checks that a request is evicted only if no lower class exceeds its guaranteed places.
    fn check_refusal(&self, ticket: Ticket, reason: RefusalReason) -> Result<(), TestCaseError> {
        let class = self.class_of[&ticket];
        let lower_waits =
            (0..class).any(|it| self.class_counts(it).waiting > guaranteed_places(it));
        prop_assert!(reason != RefusalReason::Displaced || !lower_waits);
        Ok(())
    }

    /// Checks that each class with work is served within a bounded number of dispatches of equal
    /// cost.
    fn check_starvation(&mut self, served: usize) -> Result<(), TestCaseError> {
        for (idx, (name, _, share_permille)) in CLASSES.into_iter().enumerate() {
            let is_waiting = idx != served && self.has_work(idx);
            self.dispatches_since[idx] =
                if is_waiting { self.dispatches_since[idx] + 1 } else { 0 };
            let by_share = 2 * 1000 / share_permille;
            let bound = by_share + 2 * CLASSES.len() as u32 + SERVERS as u32 * SLOTS;
            prop_assert!(self.dispatches_since[idx] <= bound, "{name} starves");
        }
        Ok(())
    }
}

/// The places in the queue that are guaranteed to a class by its share.
fn guaranteed_places(class: usize) -> usize {
    (QUEUE_LIMIT * CLASSES[class].2 as usize).div_ceil(1000)
}

proptest! {
    #![proptest_config(fixture::deterministic(200))]

    #[test]
    fn priority_and_starvation(steps in proptest::collection::vec(step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
            model.check_poll()?;
        }
    }

    #[test]
    fn urgent_flood(order in proptest::collection::vec(0..4_usize, 300)) {
        let mut model = Model::new();
        for idx in order {
            for urgent in [idx, 3, 3, 2] {
                model.apply(Step::Offer(urgent));
            }
            model.check_poll()?;
            model.apply(Step::Stream);
            model.apply(Step::Finish(idx));
            model.check_poll()?;
        }
    }
}
