//! The queue of one class in one pool, with weighted fair queueing among workspaces.
//!
//! Each workspace has a FIFO queue and a virtual finish time, which grows by the cost of each
//! dequeued request divided by the workspace's weight. The workspace with the smallest finish time
//! is next, so a long queue of one workspace does not delay another.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use crate::{
    estimate::{Ewma, Rate},
    hedging::Hedging,
    keys::{Ticket, WorkspaceKey},
    retry::RetryBudget,
};

/// Finish tags are fixed-point numbers with this many units per token at weight 1.
pub(crate) const FINISH_TAG_SCALE: u64 = 1 << 16;
const ANSWER_LENGTH_EWMA_WEIGHT: f64 = 0.05;

/// A queued request and its cost in expected tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) cost: u32,
}

/// The queued, running and paused requests of one class in one pool.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    queues: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    /// The workspaces with queued requests that may be dispatched, by finish tag.
    active: BTreeSet<(u64, WorkspaceKey)>,
    /// The workspaces that are skipped because they are at their limit of requests in flight.
    parked: BTreeSet<WorkspaceKey>,
    virtual_time: u64,
    pub(crate) waiting: usize,
    pub(crate) waiting_tokens: u64,
    /// Thousandths of tokens by which the class is behind its guaranteed share.
    pub(crate) deficit: u64,
    /// Streams that hold a slot of a backend server.
    pub(crate) running: Vec<Ticket>,
    /// Streams that were paused for more urgent requests, the earliest paused first.
    pub(crate) paused: VecDeque<Ticket>,
    pub(crate) answer_tokens: Ewma,
    pub(crate) dispatch_rate: Rate,
    pub(crate) retries: RetryBudget,
    pub(crate) hedging: Hedging,
    /// When the last request was admitted.
    pub(crate) last_arrival: Option<Instant>,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    items: VecDeque<QueuedRequest>,
    finish_tag: u64,
    weight: u32,
}

impl Default for ClassQueue {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            active: BTreeSet::new(),
            parked: BTreeSet::new(),
            virtual_time: 0,
            waiting: 0,
            waiting_tokens: 0,
            deficit: 0,
            running: Vec::new(),
            paused: VecDeque::new(),
            answer_tokens: Ewma::new(ANSWER_LENGTH_EWMA_WEIGHT),
            dispatch_rate: Rate::default(),
            retries: RetryBudget::default(),
            hedging: Hedging::default(),
            last_arrival: None,
        }
    }
}

impl ClassQueue {
    pub(crate) fn push_back(&mut self, workspace: WorkspaceKey, weight: u32, item: QueuedRequest) {
        self.queue_for(workspace, weight).items.push_back(item);
        self.record_enqueued(item);
    }

    pub(crate) fn push_front(&mut self, workspace: WorkspaceKey, weight: u32, item: QueuedRequest) {
        self.queue_for(workspace, weight).items.push_front(item);
        self.record_enqueued(item);
    }

    /// The next request and its workspace.
    pub(crate) fn peek(&self) -> Option<(WorkspaceKey, QueuedRequest)> {
        let (_, workspace) = self.active.first()?;
        let head = self.queues[workspace].items.front()?;
        Some((*workspace, *head))
    }

    /// Removes the request that [`ClassQueue::peek`] returns.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let (finish_tag, workspace) = self.active.pop_first()?;
        let queue = self.queues.get_mut(&workspace)?;
        let item = queue.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(finish_tag);
        queue.finish_tag =
            finish_tag + u64::from(item.cost.max(1)) * FINISH_TAG_SCALE / u64::from(queue.weight);
        if !queue.items.is_empty() {
            self.active.insert((queue.finish_tag, workspace));
        }
        self.record_dequeued(item);
        Some(item)
    }

    /// Skips a workspace that is at its limit until [`ClassQueue::unpark`].
    pub(crate) fn park(&mut self, workspace: WorkspaceKey) {
        let Some(queue) = self.queues.get(&workspace) else { return };
        if self.active.remove(&(queue.finish_tag, workspace)) {
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
        queue.finish_tag = queue.finish_tag.max(self.virtual_time);
        self.active.insert((queue.finish_tag, workspace));
    }

    /// Removes one request from the queue; returns false if it is not queued.
    pub(crate) fn remove(&mut self, workspace: WorkspaceKey, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(&workspace) else { return false };
        let Some(idx) = queue.items.iter().position(|it| it.ticket == ticket) else { return false };
        let item = queue.items.remove(idx).expect("the position was found above");
        if queue.items.is_empty() {
            self.active.remove(&(queue.finish_tag, workspace));
            self.parked.remove(&workspace);
        }
        self.record_dequeued(item);
        true
    }

    /// The newest request of the workspace with the largest backlog relative to its weight.
    pub(crate) fn newest_of_longest(&self) -> Option<(WorkspaceKey, QueuedRequest)> {
        let queues = self.queues.iter().filter(|(_, it)| !it.items.is_empty());
        let (workspace, queue) = queues.max_by_key(|(_, it)| it.backlog_per_weight())?;
        Some((*workspace, *queue.items.back()?))
    }

    /// The queued requests of one workspace divided by its weight, in [`FINISH_TAG_SCALE`] units.
    pub(crate) fn backlog_per_weight(&self, workspace: WorkspaceKey) -> u64 {
        self.queues.get(&workspace).map_or(0, WorkspaceQueue::backlog_per_weight)
    }

    /// The number of requests that are queued, running or paused.
    pub(crate) fn demand(&self) -> u32 {
        (self.waiting + self.running.len() + self.paused.len()) as u32
    }

    /// All queued requests.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queues.values().flat_map(|it| it.items.iter().map(|item| item.ticket))
    }

    fn queue_for(&mut self, workspace: WorkspaceKey, weight: u32) -> &mut WorkspaceQueue {
        let queue = self.queues.entry(workspace).or_default();
        queue.weight = weight.max(1);
        if queue.items.is_empty() && !self.parked.contains(&workspace) {
            queue.finish_tag = queue.finish_tag.max(self.virtual_time);
            self.active.insert((queue.finish_tag, workspace));
        }
        queue
    }

    fn record_enqueued(&mut self, item: QueuedRequest) {
        self.waiting += 1;
        self.waiting_tokens += u64::from(item.cost);
    }

    fn record_dequeued(&mut self, item: QueuedRequest) {
        self.waiting -= 1;
        self.waiting_tokens -= u64::from(item.cost);
        if self.waiting == 0 && self.paused.is_empty() {
            self.deficit = 0;
        }
    }
}

impl WorkspaceQueue {
    fn backlog_per_weight(&self) -> u64 {
        self.items.len() as u64 * FINISH_TAG_SCALE / u64::from(self.weight.max(1))
    }
}
