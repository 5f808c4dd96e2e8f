//! One member with its own disk and thread.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::mpsc::{Receiver, Sender},
    time::{Duration, Instant},
};

use consensus::{LogIndex, Members, Node, NodeId, Peer, Ready, Role, Settings, Snapshot, Storage};
use storage::{CommitPhases, LogFile};

use crate::COMMAND_BYTES;

const COMPACT_EVERY_ENTRIES: u64 = 5_000;
/// The longest time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An input to a member.
pub(crate) enum Event {
    Message(Vec<u8>),
    /// Proposes a command that was sent at this time.
    Propose(Instant),
    Stop,
}

/// An output of a member for the measurement.
pub(crate) enum Report {
    /// This member has become the leader.
    Leads(usize),
    /// A command that was sent at this time is committed.
    Committed(Instant),
    Refused,
}

pub(crate) struct Member {
    id: usize,
    node: Node,
    disk: LogFile,
    peers: Vec<Sender<Event>>,
    reports: Sender<Report>,
    /// When the commands in flight were sent.
    proposed: BTreeMap<LogIndex, Instant>,
    writes: u64,
}

impl Member {
    /// Formats a disk for each peer in `folder` and creates the members of one cluster.
    pub(crate) fn create_all(
        folder: &Path,
        commit_phases: CommitPhases,
        peers: &[Sender<Event>],
        reports: &Sender<Report>,
    ) -> Vec<Member> {
        let settings = storage::Settings { commit_phases, ..storage::Settings::default() };
        let open = |id: usize| {
            let folder = folder.join(id.to_string());
            storage::format(&folder, &settings).expect("an empty folder can be formatted");
            LogFile::open(&folder, &settings).expect("a formatted folder opens")
        };
        let mut disks: Vec<_> = (0..peers.len()).map(open).collect();
        let peer = |id: usize, disk: &LogFile| Peer { node: NodeId(id as u64), disk: disk.disk() };
        let ids: Vec<_> = disks.iter().enumerate().map(|(id, disk)| peer(id, disk)).collect();
        let start = Snapshot::bootstrap(Members::of_voters(ids.iter().copied()));
        disks.iter_mut().for_each(|it| it.bootstrap(start.clone()).expect("new disks are empty"));
        disks
            .into_iter()
            .enumerate()
            .map(|(id, disk)| {
                let settings = Settings { seed: id as u64, ..Settings::default() };
                let recovered = disk.load().expect("a new disk can be read");
                Member {
                    id,
                    node: Node::new(settings, ids[id], recovered, Instant::now()),
                    disk,
                    peers: peers.to_vec(),
                    reports: reports.clone(),
                    proposed: BTreeMap::new(),
                    writes: 0,
                }
            })
            .collect()
    }

    /// Runs until it is stopped, then returns the number of writes.
    pub(crate) fn run(mut self, inbox: &Receiver<Event>) -> u64 {
        loop {
            let first = inbox.recv_timeout(TICK_INTERVAL).ok();
            for event in first.into_iter().chain(inbox.try_iter()) {
                if !self.handle(event) {
                    return self.writes;
                }
            }
            self.node.tick(Instant::now());
            while self.process_ready() {}
        }
    }

    /// Handles an event; returns `false` if the member is to stop.
    fn handle(&mut self, event: Event) -> bool {
        let now = Instant::now();
        match event {
            Event::Message(bytes) => {
                let message = consensus::decode(&bytes).expect("members use the same encoding");
                self.node.step(now, message);
            }
            Event::Propose(sent_at) => match self.node.propose(now, vec![7; COMMAND_BYTES]) {
                Ok(proposal) => _ = self.proposed.insert(proposal.index, sent_at),
                Err(_) => self.report(Report::Refused),
            },
            Event::Stop => return false,
        }
        true
    }

    /// Carries out the work of the node; returns `false` if there is none.
    fn process_ready(&mut self) -> bool {
        let ready: Ready = self.node.ready();
        if ready.is_empty() {
            return false;
        }
        for message in ready.messages {
            let bytes = consensus::encode(&message).expect("messages can be encoded");
            // A member that has stopped already receives no more messages.
            _ = self.peers[message.to.node.0 as usize].send(Event::Message(bytes));
        }
        if let Some(writes) = &ready.writes {
            self.disk.save(writes).expect("the disk can be written");
            self.writes += 1;
            self.node.persisted(Instant::now(), writes.id);
        }
        for entry in ready.committed {
            if let Some(sent_at) = self.proposed.remove(&entry.index) {
                self.report(Report::Committed(sent_at));
            }
            if entry.index.0.is_multiple_of(COMPACT_EVERY_ENTRIES) {
                self.node.compact(entry.index, vec![0; 100_000]);
            }
        }
        if ready.role.is_some_and(|it| it.role == Role::Leader) {
            self.report(Report::Leads(self.id));
        }
        true
    }

    fn report(&self, report: Report) {
        // The receiver is gone when the run has ended before the members stop.
        _ = self.reports.send(report);
    }
}
