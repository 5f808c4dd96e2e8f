//! What holds for classes over arbitrary arrivals, ends, cancellations and capacities.

#[path = "support/world.rs"]
mod world;

use std::collections::{BTreeMap, BTreeSet};

use policy::{Action, BackendKey, ClassCounts, ClassKey, RefusalReason, Ticket};
use proptest::prelude::*;
use world::{World, class, report};

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
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..CLASSES.len()).prop_map(Step::Offer),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..SERVERS, 1..=SLOTS).prop_map(|it| Step::Slots(it.0, it.1)),
        3 => Just(Step::Stream),
        3 => (1..4_000_u64).prop_map(Step::Pass),
    ]
}

struct Model {
    world: World,
    class_of: BTreeMap<Ticket, usize>,
    running: Vec<(Ticket, BackendKey)>,
    /// Requests that had a token, so they hold a slot of the engine.
    streamed: BTreeSet<Ticket>,
    /// Dispatches since each class last advanced, while it had work.
    passed_over: [u32; CLASSES.len()],
}

impl Model {
    fn new() -> Self {
        let classes = CLASSES.map(|(name, priority, share)| class(name, priority, share)).to_vec();
        let mut spec = world::spec(classes, SLOTS);
        spec.pools[0].queue_limit = QUEUE_LIMIT;
        Self {
            world: World::with(policy::Settings::default(), spec, SERVERS),
            class_of: BTreeMap::new(),
            running: Vec::new(),
            streamed: BTreeSet::new(),
            passed_over: [0; CLASSES.len()],
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer(idx) => {
                if let Ok(ticket) = self.world.try_offer(CLASSES[idx].0, "a") {
                    self.class_of.insert(ticket, idx);
                }
            }
            Step::Finish(idx) => self.end(idx, World::finish),
            Step::Cancel(idx) => self.end(idx, |world, it| world.scheduler.cancelled(it)),
            Step::Slots(server, slots) => {
                let (key, now) = (self.world.backends[server], self.world.now);
                let running = self.world.scheduler.in_flight(key);
                self.world.scheduler.load_report(now, key, &report(1, running, slots));
            }
            Step::Stream => {
                let tickets: Vec<_> = self.running.iter().map(|it| it.0).collect();
                self.world.stream(&tickets, 40, 2);
                self.streamed.extend(tickets);
            }
            Step::Pass(millis) => self.world.pass(millis),
        }
    }

    fn end(&mut self, idx: usize, end: impl Fn(&mut World, Ticket)) {
        if self.running.is_empty() {
            return;
        }
        let (ticket, _) = self.running.remove(idx % self.running.len());
        end(&mut self.world, ticket);
    }

    fn key(&self, idx: usize) -> ClassKey {
        self.world.scheduler.class(CLASSES[idx].0).expect("the class is in the spec")
    }

    fn class_counts(&self, idx: usize) -> ClassCounts {
        self.world.scheduler.class_counts(self.key(idx), self.world.pool)
    }

    fn has_work(&self, idx: usize) -> bool {
        let figures = self.class_counts(idx);
        figures.waiting + figures.paused > 0
    }

    /// Streams of lower classes on one of `servers` whose pause would give a usable slot.
    fn lower_in_usable_slots(&self, class: usize, servers: &[BackendKey]) -> usize {
        let lower = self.running.iter().filter(|(ticket, key)| {
            let is_usable = !self.world.scheduler.is_straggler(*key);
            is_usable
                && servers.contains(key)
                && self.streamed.contains(ticket)
                && self.class_of[ticket] < class
        });
        let guaranteed: usize = (0..class).map(|it| self.class_counts(it).guaranteed).sum();
        lower.count().saturating_sub(guaranteed)
    }

    fn check_poll(&mut self) -> Result<(), TestCaseError> {
        let actions = self.world.poll();
        for (idx, action) in actions.iter().enumerate() {
            match action {
                Action::Dispatch { ticket, backend } | Action::Resume { ticket, backend } => {
                    self.running.push((*ticket, *backend));
                    self.check_bound(self.class_of[ticket])?;
                }
                Action::Pause { ticket, backend } => {
                    self.running.retain(|it| it.0 != *ticket);
                    self.check_pause(*ticket, *backend, actions.get(idx + 1))?;
                }
                Action::Refuse { ticket, refusal } => {
                    self.check_shed(*ticket, refusal.reason)?;
                }
                other => prop_assert!(false, "{other:?} is not expected"),
            }
        }
        for (idx, action) in actions.iter().enumerate() {
            let Action::Pause { ticket, backend } = action else { continue };
            let is_sent_now = matches!(actions.get(idx + 1), Some(Action::Dispatch { .. }));
            // A request that was sent before needs a slot of its server; another may take any.
            let places = if is_sent_now { &self.world.backends[..] } else { &[*backend] };
            let lower = self.lower_in_usable_slots(self.class_of[ticket], places);
            prop_assert_eq!(lower, 0, "a lower class kept its place");
        }
        Ok(())
    }

    /// The next action takes the slot, or a request that was sent there before waits for it.
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
        let mut there = self.running.iter().filter(|it| it.1 == slot);
        let waits = there.any(|it| is_higher(&it.0) && !self.streamed.contains(&it.0));
        prop_assert!(waits, "a pause without a more urgent request that needs the slot");
        Ok(())
    }

    fn check_shed(&self, ticket: Ticket, reason: RefusalReason) -> Result<(), TestCaseError> {
        let class = self.class_of[&ticket];
        let lower_waits = (0..class).any(|it| self.class_counts(it).waiting > places(it));
        prop_assert!(reason != RefusalReason::Displaced || !lower_waits);
        Ok(())
    }

    /// Every class with work advances within this many dispatches of equal cost in the pool.
    fn check_bound(&mut self, advanced: usize) -> Result<(), TestCaseError> {
        for (idx, (name, _, share_permille)) in CLASSES.into_iter().enumerate() {
            let counts = idx != advanced && self.has_work(idx);
            self.passed_over[idx] = if counts { self.passed_over[idx] + 1 } else { 0 };
            let by_share = 2 * 1000 / share_permille;
            let bound = by_share + 2 * CLASSES.len() as u32 + SERVERS as u32 * SLOTS;
            prop_assert!(self.passed_over[idx] <= bound, "{name} starves");
        }
        Ok(())
    }
}

/// Places in the queue that a class keeps by its share.
fn places(class: usize) -> usize {
    (QUEUE_LIMIT * CLASSES[class].2 as usize).div_ceil(1000)
}

proptest! {
    #![proptest_config(world::fixed(200))]

    #[test]
    fn never_upward_never_starved(steps in proptest::collection::vec(step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
            model.check_poll()?;
        }
    }

    #[test]
    fn urgent_flood_starves_none(order in proptest::collection::vec(0..4_usize, 300)) {
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
