//! The waiting requests of one class in one pool, fair among workspaces.
//!
//! Each workspace has a first-in first-out queue and a virtual finish time that grows by the cost
//! of what was taken divided by its weight; the workspace with the smallest one is next, so a long
//! queue of one workspace does not delay another.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use crate::{
    estimate::{Ewma, Rate},
    keys::{Ticket, WorkspaceKey},
    retry::RetryBudget,
};

pub(crate) const TAG_SCALE: u64 = 1 << 16;
const LENGTH_WEIGHT: f64 = 0.05;

/// A waiting request and its cost in expected tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) cost: u32,
}

#[derive(Debug)]
pub(crate) struct Lane {
    queues: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    active: BTreeSet<(u64, WorkspaceKey)>,
    parked: BTreeSet<WorkspaceKey>,
    virtual_time: u64,
    pub(crate) waiting: usize,
    pub(crate) waiting_tokens: u64,
    /// Tokens in permille that the class is owed by its guaranteed share.
    pub(crate) owed: u64,
    /// Streams that hold a slot at a backend server.
    pub(crate) running: Vec<Ticket>,
    /// Streams that were paused for more urgent work, oldest first.
    pub(crate) paused: VecDeque<Ticket>,
    pub(crate) answer_tokens: Ewma,
    pub(crate) dispatched: Rate,
    pub(crate) retries: RetryBudget,
    /// When the last request was admitted.
    pub(crate) last_arrival: Option<Instant>,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    items: VecDeque<Waiting>,
    tag: u64,
    weight: u32,
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            active: BTreeSet::new(),
            parked: BTreeSet::new(),
            virtual_time: 0,
            waiting: 0,
            waiting_tokens: 0,
            owed: 0,
            running: Vec::new(),
            paused: VecDeque::new(),
            answer_tokens: Ewma::new(LENGTH_WEIGHT),
            dispatched: Rate::default(),
            retries: RetryBudget::default(),
            last_arrival: None,
        }
    }
}

impl Lane {
    pub(crate) fn push_back(&mut self, workspace: WorkspaceKey, weight: u32, item: Waiting) {
        self.queue_for(workspace, weight).items.push_back(item);
        self.count_in(item);
    }

    pub(crate) fn push_front(&mut self, workspace: WorkspaceKey, weight: u32, item: Waiting) {
        self.queue_for(workspace, weight).items.push_front(item);
        self.count_in(item);
    }

    /// The next request and its workspace.
    pub(crate) fn peek(&self) -> Option<(WorkspaceKey, Waiting)> {
        let (_, workspace) = self.active.first()?;
        let head = self.queues[workspace].items.front()?;
        Some((*workspace, *head))
    }

    /// Takes the request that [`Lane::peek`] shows.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let (tag, workspace) = self.active.pop_first()?;
        let queue = self.queues.get_mut(&workspace)?;
        let item = queue.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(tag);
        queue.tag = tag + u64::from(item.cost.max(1)) * TAG_SCALE / u64::from(queue.weight);
        if !queue.items.is_empty() {
            self.active.insert((queue.tag, workspace));
        }
        self.count_out(item);
        Some(item)
    }

    /// Passes over a workspace until [`Lane::unpark`], because it is at its limit.
    pub(crate) fn park(&mut self, workspace: WorkspaceKey) {
        let Some(queue) = self.queues.get(&workspace) else { return };
        if self.active.remove(&(queue.tag, workspace)) {
            self.parked.insert(workspace);
        }
    }

    pub(crate) fn unpark(&mut self, workspace: WorkspaceKey) {
        if !self.parked.remove(&workspace) {
            return;
        }
        let Some(queue) = self.queues.get_mut(&workspace) else { return };
        if queue.items.is_empty() {
            return;
        }
        queue.tag = queue.tag.max(self.virtual_time);
        self.active.insert((queue.tag, workspace));
    }

    /// Takes one request out of its place; false if it is not here.
    pub(crate) fn remove(&mut self, workspace: WorkspaceKey, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(&workspace) else { return false };
        let Some(idx) = queue.items.iter().position(|it| it.ticket == ticket) else { return false };
        let item = queue.items.remove(idx).expect("the position was found above");
        if queue.items.is_empty() {
            self.active.remove(&(queue.tag, workspace));
            self.parked.remove(&workspace);
        }
        self.count_out(item);
        true
    }

    /// The newest request of the workspace that has the most waiting for its weight.
    pub(crate) fn newest_of_longest(&self) -> Option<(WorkspaceKey, Waiting)> {
        let queues = self.queues.iter().filter(|(_, it)| !it.items.is_empty());
        let (workspace, queue) = queues.max_by_key(|(_, it)| it.backlog_per_weight())?;
        Some((*workspace, *queue.items.back()?))
    }

    /// Waiting requests of one workspace, scaled by its weight.
    pub(crate) fn backlog_per_weight(&self, workspace: WorkspaceKey) -> u64 {
        self.queues.get(&workspace).map_or(0, WorkspaceQueue::backlog_per_weight)
    }

    /// Requests that wait, run or are paused.
    pub(crate) fn demand(&self) -> u32 {
        (self.waiting + self.running.len() + self.paused.len()) as u32
    }

    /// All waiting requests.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queues.values().flat_map(|it| it.items.iter().map(|item| item.ticket))
    }

    fn queue_for(&mut self, workspace: WorkspaceKey, weight: u32) -> &mut WorkspaceQueue {
        let queue = self.queues.entry(workspace).or_default();
        queue.weight = weight.max(1);
        if queue.items.is_empty() && !self.parked.contains(&workspace) {
            queue.tag = queue.tag.max(self.virtual_time);
            self.active.insert((queue.tag, workspace));
        }
        queue
    }

    fn count_in(&mut self, item: Waiting) {
        self.waiting += 1;
        self.waiting_tokens += u64::from(item.cost);
    }

    fn count_out(&mut self, item: Waiting) {
        self.waiting -= 1;
        self.waiting_tokens -= u64::from(item.cost);
        if self.waiting == 0 && self.paused.is_empty() {
            self.owed = 0;
        }
    }
}

impl WorkspaceQueue {
    fn backlog_per_weight(&self) -> u64 {
        self.items.len() as u64 * TAG_SCALE / u64::from(self.weight.max(1))
    }
}
