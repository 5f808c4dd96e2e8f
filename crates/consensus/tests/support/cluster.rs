//! A simulated cluster in one thread with a fake clock, network and disks; it checks the
//! invariants of the log at each step.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use consensus::{
    DiskId, Entry, Members, Message, Node, NodeId, Payload, Peer, Proposal, Ready, Recovered,
    RepairInput, RepairStep, Role, Settings, Snapshot, Writes,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::History;

/// The step of the simulated time; a message takes one to three steps to arrive.
const QUANTUM: Duration = Duration::from_millis(5);
const COMPACT_EVERY_ENTRIES: u64 = 20;

/// A replicated application under test.
pub(crate) trait App: Default {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    fn snapshot(&self) -> Vec<u8>;
    fn restore(&mut self, data: &[u8]);
}

/// One machine: its process, its disk and its clock.
pub(crate) struct Host<A> {
    pub(crate) peer: Peer,
    /// The running process, if there is one.
    pub(crate) node: Option<Node>,
    pub(crate) app: A,
    pub(crate) is_frozen: bool,
    rate_permille: i64,
    /// The time at which the clock's rate was last set, in true and in local time.
    clock_set_at: (Duration, Instant),
    /// How long the disk takes to sync a write.
    pub(crate) sync_time: Duration,
    /// The term and the response of each entry applied since the last start, by index.
    pub(crate) responses: BTreeMap<u64, (u64, Vec<u8>)>,
    disk: Recovered,
    /// A write that is not synced yet, with the time at which its sync ends.
    pending_write: Option<(Duration, Writes)>,
    start_count: u64,
}

pub(crate) struct Cluster<A> {
    pub(crate) elapsed: Duration,
    pub(crate) hosts: BTreeMap<u64, Host<A>>,
    /// Links that drop all messages, as sender and receiver.
    pub(crate) cuts: BTreeSet<(u64, u64)>,
    /// The share of messages that are delivered twice.
    pub(crate) repeat_permille: u32,
    pub(crate) history: History,
    /// Elections and refused repairs since the script last printed them.
    pub(crate) events: Vec<String>,
    start: Instant,
    /// Encoded messages in flight, with the time at which each arrives.
    network: Vec<(Duration, Vec<u8>)>,
    rng: ChaCha8Rng,
    disks_created: u64,
}

impl<A: App> Cluster<A> {
    /// Creates and starts a cluster of voters with the ids 1 to `size`.
    pub(crate) fn new(size: u64, seed: u64) -> Cluster<A> {
        let mut cluster = Cluster {
            elapsed: Duration::ZERO,
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            repeat_permille: 0,
            history: History::default(),
            events: Vec::new(),
            start: Instant::now(),
            network: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            disks_created: 0,
        };
        let peers: Vec<_> = (1..=size).map(|id| cluster.add_host(id)).collect();
        let snapshot = Snapshot::bootstrap(Members::of_voters(peers));
        for host in cluster.hosts.values_mut() {
            host.disk.snapshot = snapshot.clone();
        }
        (1..=size).for_each(|id| cluster.start(id));
        cluster
    }

    /// Adds a machine with an empty disk without starting its process.
    pub(crate) fn add_host(&mut self, id: u64) -> Peer {
        self.disks_created += 1;
        let peer = Peer { node: NodeId(id), disk: DiskId(self.disks_created) };
        let host = Host {
            peer,
            node: None,
            app: A::default(),
            is_frozen: false,
            rate_permille: 0,
            clock_set_at: (Duration::ZERO, self.start),
            sync_time: Duration::ZERO,
            responses: BTreeMap::new(),
            disk: Recovered::default(),
            pending_write: None,
            start_count: 0,
        };
        self.hosts.insert(id, host);
        peer
    }

    /// Waits for the first leader, then transfers the leadership to n1.
    pub(crate) fn elect_n1(&mut self) {
        while self.leader().is_none() {
            self.run(QUANTUM);
        }
        self.run(settings().election_timeout);
        let leader = self.leader().expect("a cluster without faults keeps its leader");
        if leader != 1 {
            self.transfer(leader, 1).expect("n1 can take over");
            self.run(settings().election_timeout);
        }
        self.events.clear();
    }

    pub(crate) fn start(&mut self, id: u64) {
        let now = self.local_now(id);
        let seed = self.rng.random();
        let host = self.host(id);
        if host.node.is_some() {
            return;
        }
        host.start_count += 1;
        host.app = A::default();
        host.responses.clear();
        let settings = Settings { seed, ..settings() };
        host.node = Some(Node::new(settings, host.peer, host.disk.clone(), now));
    }

    /// Kills the process; a write that is not synced is lost.
    pub(crate) fn kill(&mut self, id: u64) {
        let host = self.host(id);
        host.node = None;
        host.pending_write = None;
        host.is_frozen = false;
        self.history.reset_applied(id);
    }

    /// Kills the process after its last write is synced and before the node learns of it.
    pub(crate) fn kill_after_sync(&mut self, id: u64) {
        if let Some((_, writes)) = self.host(id).pending_write.take() {
            save(&mut self.host(id).disk, &writes);
        }
        self.kill(id);
    }

    /// Kills the process and replaces its disk with an empty one.
    pub(crate) fn lose_disk(&mut self, id: u64) {
        self.kill(id);
        let old = self.host(id);
        let (rate_permille, clock_set_at) = (old.rate_permille, old.clock_set_at);
        self.add_host(id);
        let new = self.host(id);
        new.rate_permille = rate_permille;
        new.clock_set_at = clock_set_at;
    }

    pub(crate) fn host(&mut self, id: u64) -> &mut Host<A> {
        self.hosts.get_mut(&id).expect("the host exists")
    }

    /// The current time by the clock of `id`.
    pub(crate) fn local_now(&self, id: u64) -> Instant {
        let host = &self.hosts[&id];
        let (true_set_at, local) = host.clock_set_at;
        let rate = 1_000 + host.rate_permille;
        local + (self.elapsed - true_set_at) * rate as u32 / 1_000
    }

    /// Changes the rate of a clock from now on; its time does not jump.
    pub(crate) fn set_clock_rate(&mut self, id: u64, rate_permille: i64) {
        let local = self.local_now(id);
        let elapsed = self.elapsed;
        let host = self.host(id);
        host.clock_set_at = (elapsed, local);
        host.rate_permille = rate_permille;
    }

    /// The nodes whose lease is valid by their own clocks, including frozen nodes.
    pub(crate) fn lease_holders(&self) -> Vec<u64> {
        let holds = |id: &u64| {
            let node = self.hosts[id].node.as_ref();
            node.is_some_and(|it| !it.lease_left(self.local_now(*id)).is_zero())
        };
        self.hosts.keys().copied().filter(holds).collect()
    }

    /// The lease holder that is not frozen, if there is one.
    pub(crate) fn leader(&self) -> Option<u64> {
        self.lease_holders().into_iter().find(|id| !self.hosts[id].is_frozen)
    }

    pub(crate) fn propose(&mut self, id: u64, command: &[u8]) -> Result<Proposal, String> {
        let now = self.local_now(id);
        let node = self.host(id).node.as_mut().ok_or("not running")?;
        node.propose(now, command.to_vec()).map_err(|err| err.to_string())
    }

    pub(crate) fn cut_pair(&mut self, a: u64, b: u64) {
        self.cuts.extend([(a, b), (b, a)]);
    }

    pub(crate) fn isolate(&mut self, id: u64) {
        let others: Vec<_> = self.hosts.keys().copied().filter(|it| *it != id).collect();
        others.into_iter().for_each(|it| self.cut_pair(id, it));
    }

    pub(crate) fn transfer(&mut self, from: u64, to: u64) -> Result<(), String> {
        let now = self.local_now(from);
        let target = self.host(to).peer;
        let node = self.host(from).node.as_mut().ok_or("not running")?;
        node.transfer(now, target).map_err(|err| err.to_string())
    }

    /// The response to a proposal made at `id`, once the entry at its index is applied there; an
    /// error if that entry is of another term, so that the command is lost.
    pub(crate) fn response(&self, id: u64, proposal: Proposal) -> Option<Result<Vec<u8>, String>> {
        let (term, response) = self.hosts[&id].responses.get(&proposal.index.0)?;
        if *term == proposal.term.0 {
            return Some(Ok(response.clone()));
        }
        Some(Err("another entry took its place".to_owned()))
    }

    /// The leader's id and its next repair step, if there is a leader.
    pub(crate) fn repair_step(&self) -> Option<(u64, RepairStep)> {
        let id = self.leader()?;
        let status = self.hosts[&id].node.as_ref()?.status(self.local_now(id));
        let is_running = |it: &&Host<A>| it.node.is_some() && !it.is_frozen;
        let running = self.hosts.values().filter(is_running).map(|it| it.peer).collect();
        let input = RepairInput { running, ..RepairInput::default() };
        Some((id, consensus::next_repair_step(&status, &input)))
    }

    /// Carries out the leader's next repair step if it is a membership change.
    pub(crate) fn repair(&mut self) {
        let Some((id, RepairStep::Change(change))) = self.repair_step() else { return };
        let now = self.local_now(id);
        let Some(node) = &mut self.host(id).node else { return };
        if let Err(err) = node.change_members(now, change) {
            self.events.push(format!("n{id} refuses {change:?}: {err}"));
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while self.elapsed < end {
            self.elapsed += QUANTUM;
            self.run_quantum();
        }
    }

    fn run_quantum(&mut self) {
        self.deliver();
        let ids: Vec<_> = self.hosts.keys().copied().collect();
        for id in ids {
            self.drive(id);
        }
        let holders = self.lease_holders();
        self.history.check_lease(&holders, self.elapsed);
    }

    fn deliver(&mut self) {
        let now = self.elapsed;
        let (due, later) =
            std::mem::take(&mut self.network).into_iter().partition(|it| it.0 <= now);
        self.network = later;
        for (at, bytes) in due {
            let message = consensus::decode(&bytes).expect("an encoded message decodes");
            let id = message.to.node.0;
            if self.hosts[&id].is_frozen {
                self.network.push((at, bytes));
                continue;
            }
            let local = self.local_now(id);
            if let Some(node) = &mut self.host(id).node {
                node.step(local, message);
            }
        }
    }

    fn drive(&mut self, id: u64) {
        let local = self.local_now(id);
        if self.hosts[&id].is_frozen {
            return;
        }
        if let Some(node) = &mut self.host(id).node {
            node.tick(local);
        }
        loop {
            self.finish_write(id);
            let Some(node) = &mut self.host(id).node else { return };
            let ready = node.ready();
            if ready.is_empty() {
                return;
            }
            self.process_ready(id, ready);
        }
    }

    fn finish_write(&mut self, id: u64) {
        let (now, local) = (self.elapsed, self.local_now(id));
        let host = self.host(id);
        let Some((_, writes)) = host.pending_write.take_if(|it| it.0 <= now) else { return };
        save(&mut host.disk, &writes);
        if let Some(node) = &mut host.node {
            node.persisted(local, writes.id);
        }
    }

    fn process_ready(&mut self, id: u64, ready: Ready) {
        ready.messages.into_iter().for_each(|it| self.send(it));
        if let Some(change) = ready.role {
            self.record_role(id, change.role, change.term.0);
        }
        let due = self.elapsed + self.hosts[&id].sync_time;
        if let Some(writes) = ready.writes {
            self.host(id).pending_write = Some((due, writes));
        }
        if let Some(snapshot) = ready.restore {
            self.host(id).app.restore(&snapshot.data);
            let state = self.host(id).app.snapshot();
            self.history.check_restore(id, snapshot.index.0, &state);
        }
        for entry in ready.committed {
            self.apply(id, entry);
        }
    }

    fn apply(&mut self, id: u64, entry: Entry) {
        let host = self.host(id);
        let response = match &entry.payload {
            Payload::Command(command) => host.app.apply(entry.index.0, command),
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        host.responses.insert(entry.index.0, (entry.term.0, response));
        let state = host.app.snapshot();
        if entry.index.0.is_multiple_of(COMPACT_EVERY_ENTRIES) {
            let node = host.node.as_mut().expect("entries are applied only on running nodes");
            node.compact(entry.index, state.clone());
        }
        self.history.check_apply(id, entry, state);
    }

    fn record_role(&mut self, id: u64, role: Role, term: u64) {
        if role == Role::Leader {
            self.history.check_leader(id, term);
            self.events.push(format!("n{id} leads term {term}"));
        }
    }

    fn send(&mut self, message: Message) {
        if self.cuts.contains(&(message.from.node.0, message.to.node.0)) {
            return;
        }
        let copies = if self.rng.random_range(0..1_000) < self.repeat_permille { 2 } else { 1 };
        let bytes = consensus::encode(&message).expect("messages can be encoded");
        for _ in 0..copies {
            let delay = QUANTUM * self.rng.random_range(1..=3);
            self.network.push((self.elapsed + delay, bytes.clone()));
        }
    }
}

/// The settings of all simulated members: short times keep the scripts readable.
pub(crate) fn settings() -> Settings {
    Settings {
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(300),
        clock_rate_bound_permille: 200,
        kept_entries: 8,
        ..Settings::default()
    }
}

fn save(disk: &mut Recovered, writes: &Writes) {
    disk.hard_state = writes.hard_state.unwrap_or(disk.hard_state);
    if let Some(snapshot) = &writes.snapshot {
        disk.snapshot = (**snapshot).clone();
    }
    if let Some(index) = writes.compact_to {
        disk.entries.retain(|it| it.index > index);
    }
    if let Some(index) = writes.truncate_from {
        disk.entries.retain(|it| it.index < index);
    }
    disk.entries.extend(writes.append.iter().cloned());
    let has_gap = disk.entries.windows(2).any(|it| it[1].index != it[0].index.next());
    assert!(!has_gap, "the log on disk has a gap");
}
