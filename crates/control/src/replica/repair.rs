//! Brings members in: nodes say under which disk they run, and the leader takes the next safe step.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, UNIX_EPOCH},
};

use consensus::{MemberChange, Peer, RepairStep, Status, next_repair_step};
use control_state::{Command, encode_command};

use super::Replica;
use crate::envelope::Envelope;

const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// A node says hello with every this many steps, once a second.
const STEPS_PER_HELLO: u32 = 5;

/// A node that was not heard for this long is taken for stopped.
const HELLO_FRESH: Duration = Duration::from_secs(5);

/// A voter that has not answered the leader for this long gives its vote to a waiting learner.
const LOST_AFTER: Duration = Duration::from_secs(6);

impl Replica {
    /// Looks for the next step once an interval, and says hello and moves time on once a second.
    pub(super) async fn keep_members(self: Rc<Self>) {
        for step in (0..STEPS_PER_HELLO).cycle() {
            if step == 0 {
                self.say_hello();
                self.advance_time();
            }
            self.note_leadership();
            self.take_step();
            monoio::time::sleep(STEP_INTERVAL).await;
        }
    }

    fn note_leadership(&self) {
        let since = self.leads_since.get().unwrap_or_else(|| self.clock.now());
        self.leads_since.set(self.leads().then_some(since));
    }

    /// The next safe step towards members that are all synced.
    pub(crate) fn repair_step(&self) -> RepairStep {
        let status = self.status();
        let step = next_repair_step(&status, &self.running());
        let is_full = status.members.voters.len() >= self.voters_max;
        match step {
            RepairStep::Change(MemberChange::Promote(_)) if is_full => {
                let lost = self.lost_voter(&status);
                lost.map_or(RepairStep::Finished, |it| RepairStep::Change(MemberChange::Remove(it)))
            }
            step => step,
        }
    }

    /// A voter that was not heard for long, whose vote a synced learner may take over.
    fn lost_voter(&self, status: &Status) -> Option<Peer> {
        // A leader that was just elected has not given the others time to answer.
        let led_for = self.clock.now().saturating_duration_since(self.leads_since.get()?);
        if led_for < LOST_AFTER {
            return None;
        }
        let is_silent = |it: &Peer| {
            let seen = status.peers.iter().find(|seen| seen.peer == *it);
            seen.is_some_and(|seen| seen.answer_age.is_none_or(|age| age >= LOST_AFTER))
        };
        status.members.voters.iter().copied().find(is_silent)
    }

    /// Only a leader takes member steps, so the others need not be told while one is known.
    fn say_hello(&self) {
        let status = self.status();
        let Some(bytes) = Envelope::Hello(status.me).encode() else { return };
        let known = self.peers.nodes();
        let members = status.members.all().map(|it| it.node).filter(|it| !known.contains(it));
        for node in known.iter().copied().chain(members.collect::<Vec<_>>()) {
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
