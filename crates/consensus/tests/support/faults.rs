//! The script commands that cause and repair faults, for any application.

use std::{error::Error, fmt::Write as _, time::Duration};

use consensus::{DiskId, MemberChange, NodeId, Peer, Role};

use crate::cluster::{App, Cluster};

#[derive(Debug, goldenscript::Command)]
pub(crate) enum Fault {
    /// Advances the simulated time by some milliseconds and prints the events.
    Run(u64),
    /// Cuts the link between two nodes, or all links of one node, in both directions.
    Cut(u64, Option<u64>),
    /// Drops all messages from the first node to the second.
    CutOneWay(u64, u64),
    /// Ends all cuts.
    Heal,
    Freeze(u64),
    Resume(u64),
    Kill(u64),
    KillAfterSync(u64),
    Start(u64),
    LoseDisk(u64),
    AddHost(u64),
    /// Sets how many milliseconds a node's disk takes to sync.
    Sync(u64, u64),
    /// Sets by how many thousandths a node's clock runs fast.
    ClockRate(u64, i64),
    /// Delivers this many thousandths of all messages twice.
    Repeat(u32),
    Transfer {
        from: u64,
        to: u64,
    },
    Change {
        at: u64,
        kind: String,
        node: u64,
        #[arg(key)]
        disk: Option<u64>,
    },
    /// Carries out the next repair step if it is a membership change.
    Repair,
    /// Prints the leader and its next repair step.
    RepairStep,
    /// Prints the ids of the nodes that hold a lease.
    Leases,
    /// Prints the status of each node on a line of its own.
    Status,
}

impl<A: App> Cluster<A> {
    pub(crate) fn fault(&mut self, fault: &Fault) -> Result<String, Box<dyn Error>> {
        match *fault {
            Fault::Run(time_ms) => return Ok(self.run_and_report(Duration::from_millis(time_ms))),
            Fault::Cut(a, Some(b)) => self.cut_pair(a, b),
            Fault::Cut(a, None) => self.isolate(a),
            Fault::CutOneWay(from, to) => _ = self.cuts.insert((from, to)),
            Fault::Heal => self.cuts.clear(),
            Fault::Freeze(id) => self.host(id).is_frozen = true,
            Fault::Resume(id) => self.host(id).is_frozen = false,
            Fault::Kill(id) => self.kill(id),
            Fault::KillAfterSync(id) => self.kill_after_sync(id),
            Fault::Start(id) => self.start(id),
            Fault::LoseDisk(id) => self.lose_disk(id),
            Fault::AddHost(id) => _ = self.add_host(id),
            Fault::Sync(id, time_ms) => self.host(id).sync_time = Duration::from_millis(time_ms),
            Fault::ClockRate(id, permille) => self.set_clock_rate(id, permille),
            Fault::Repeat(permille) => self.repeat_permille = permille,
            Fault::Transfer { from, to } => self.transfer(from, to)?,
            Fault::Change { at, ref kind, node, disk } => self.change(at, kind, node, disk)?,
            Fault::Repair => self.repair(),
            Fault::RepairStep => return Ok(self.repair_text()),
            Fault::Leases => return Ok(format!("{:?}\n", self.lease_holders())),
            Fault::Status => return Ok(self.status_text()),
        }
        Ok(std::mem::take(&mut self.events).into_iter().map(|it| it + "\n").collect())
    }

    fn run_and_report(&mut self, time: Duration) -> String {
        self.run(time);
        self.events.drain(..).map(|it| it + "\n").collect()
    }

    fn change(
        &mut self,
        at: u64,
        kind: &str,
        node: u64,
        disk: Option<u64>,
    ) -> Result<(), Box<dyn Error>> {
        let now = self.local_now(at);
        let peer = match disk {
            Some(disk) => Peer { node: NodeId(node), disk: DiskId(disk) },
            None => self.host(node).peer,
        };
        let change = match kind {
            "add" => MemberChange::AddLearner(peer),
            "promote" => MemberChange::Promote(peer),
            "remove" => MemberChange::Remove(peer),
            _ => return Err("unknown membership change: use add, promote or remove".into()),
        };
        let node = self.host(at).node.as_mut().ok_or("not running")?;
        node.change_members(now, change)?;
        Ok(())
    }

    fn repair_text(&self) -> String {
        match self.repair_step() {
            Some((id, step)) => format!("n{id}: {step}\n"),
            None => "no leader\n".to_owned(),
        }
    }

    fn status_text(&self) -> String {
        let mut text = String::new();
        for (id, host) in &self.hosts {
            let Some(node) = &host.node else {
                _ = writeln!(text, "n{id} down");
                continue;
            };
            let it = node.status(self.local_now(*id));
            let peers = |set: &std::collections::BTreeSet<Peer>| {
                set.iter().map(|it| it.to_string()).collect::<Vec<_>>().join(" ")
            };
            _ = writeln!(
                text,
                "n{id} {} term={} commit={} last={} voters={} learners={}",
                if it.role == Role::Leader { "leader" } else { "follower" },
                it.term,
                it.commit,
                it.last,
                peers(&it.members.voters),
                peers(&it.members.learners),
            );
        }
        text
    }
}
