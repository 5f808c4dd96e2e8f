//! Brings members in: nodes say under which disk they run, and the leader takes the next safe step.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, UNIX_EPOCH},
};

use consensus::{MemberChange, Peer, RepairStep, next_repair_step};
use control_state::{Command, encode_command};

use super::Replica;
use crate::envelope::Envelope;

const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// A node says hello with every this many steps, once a second.
const STEPS_PER_HELLO: u32 = 5;

/// A node that was not heard for this long is taken for stopped.
const HELLO_FRESH: Duration = Duration::from_secs(5);

impl Replica {
    /// Looks for the next step once an interval, and says hello and moves time on once a second.
    pub(super) async fn keep_members(self: Rc<Self>) {
        for step in (0..STEPS_PER_HELLO).cycle() {
            if step == 0 {
                self.say_hello();
                self.advance_time();
            }
            self.take_step();
            monoio::time::sleep(STEP_INTERVAL).await;
        }
    }

    /// The next safe step towards members that are all synced.
    pub(crate) fn repair_step(&self) -> RepairStep {
        let status = self.status();
        let step = next_repair_step(&status, &self.running());
        let is_full = status.members.voters.len() >= self.voters_max;
        match step {
            RepairStep::Change(MemberChange::Promote(_)) if is_full => RepairStep::Finished,
            step => step,
        }
    }

    /// Only a leader takes member steps, so the others need not be told while one is known.
    fn say_hello(&self) {
        let status = self.status();
        let Some(bytes) = Envelope::Hello(status.me).encode() else { return };
        for node in self.peers.nodes() {
            if status.leader.is_none_or(|it| it.node == node) {
                self.peers.send(node, bytes.clone());
            }
        }
    }

    fn take_step(&self) {
        let RepairStep::Change(change) = self.repair_step() else { return };
        let now = self.clock.now();
        let result = self.core.borrow_mut().node.change_members(now, change);
        match result {
            Ok(_) => tracing::info!(event = "members_change", change = ?change),
            Err(err) => tracing::debug!(event = "members_change_refused", %err),
        }
        self.pump();
    }

    /// Lets claims and keys expire by the leader's wall clock, while there are any.
    fn advance_time(&self) {
        let is_due = self.core.borrow_mut().is_time_due();
        if !is_due || !self.leads() {
            return;
        }
        let since_epoch = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let command = Command::AdvanceTime { now_ms: since_epoch.as_millis() as u64 };
        let now = self.clock.now();
        // A leader that just lost its lease proposes nothing; the next one does.
        let _ = self.core.borrow_mut().node.propose(now, encode_command(&command));
        self.pump();
    }

    /// The peers that run now: this one and those heard of late.
    fn running(&self) -> BTreeSet<Peer> {
        let now = self.clock.now();
        let core = self.core.borrow();
        let heard = core.running.values().filter(|(_, at)| now - *at < HELLO_FRESH);
        heard.map(|(peer, _)| *peer).chain([core.node.status(now).me]).collect()
    }
}
