//! Repairs the membership: nodes announce themselves and their disks, and the leader makes the next
//! safe membership change.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use consensus::{Peer, RepairInput, RepairStep, next_repair_step};
use control_state::{Command, encode_command};
use telemetry::FailStop;

use super::{Replica, stopping::LEAVE_REQUEST_TIMEOUT};
use crate::envelope::Envelope;

const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// The number of repair steps between two hellos, which gives one hello per second.
const STEPS_PER_HELLO: u32 = 5;

/// A node whose last hello is older than this counts as stopped.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

impl Replica {
    /// Runs the next repair step at a fixed interval, and once a second sends a hello and checks
    /// whether the replicated clock is due to advance.
    pub(super) async fn run_membership(self: Rc<Self>) {
        for step in (0..STEPS_PER_HELLO).cycle() {
            if step == 0 {
                self.send_hello();
                self.advance_time();
            }
            self.update_leads_since();
            self.run_repair_step();
            monoio::time::sleep(STEP_INTERVAL).await;
        }
    }

    fn update_leads_since(&self) {
        let since = self.leads_since.get().unwrap_or_else(|| self.clock.now());
        self.leads_since.set(self.leads().then_some(since));
    }

    /// The next safe step towards a membership in which every voter is synced.
    pub(crate) fn repair_step(&self) -> RepairStep {
        let now = self.clock.now();
        let leading_for = self.leads_since.get().map(|it| now.saturating_duration_since(it));
        let input = RepairInput {
            running: self.running(),
            leaving: self.leaving(),
            voters_max: self.voters_max,
            leading_for: leading_for.unwrap_or_default(),
            voter_timeout: self.voter_timeout,
        };
        next_repair_step(&self.status(), &input)
    }

    /// Announces this node and its disk: to the leader if one is known, else to every known node.
    ///
    /// Only the leader changes the membership, so the others do not need the hello.
    fn send_hello(&self) {
        if self.is_departing() {
            return;
        }
        let status = self.status();
        let Some(bytes) = Envelope::Hello(status.me).encode() else { return };
        let linked = self.peers.nodes();
        let members = status.members.all().map(|it| it.node).filter(|it| !linked.contains(it));
        for node in linked.iter().copied().chain(members.collect::<Vec<_>>()) {
            if status.leader.is_none_or(|it| it.node == node) {
                self.peers.send(node, bytes.clone());
            }
        }
    }

    pub(super) fn run_repair_step(&self) {
        let RepairStep::Change(change) = self.repair_step() else { return };
        let now = self.clock.now();
        let _change = FailStop::begin();
        let result = self.core.borrow_mut().node.change_members(now, change);
        match result {
            Ok(_) => tracing::info!(event = "members_change", change = ?change),
            Err(err) => tracing::debug!(event = "members_change_refused", %err),
        }
        self.process_ready();
    }

    /// Advances the replicated clock to the leader's wall clock if this is due and there are claims
    /// or keys that can expire; to be called once a second.
    fn advance_time(&self) {
        let is_due = self.core.borrow_mut().is_time_advance_due();
        if !is_due || !self.leads() {
            return;
        }
        let command = Command::AdvanceTime { now_ms: self.clock.unix_ms() };
        let now = self.clock.now();
        // A leader that has just lost its lease cannot propose; the next leader advances the clock.
        let _ = self.core.borrow_mut().node.propose(now, encode_command(&command));
        self.process_ready();
    }

    /// The peers that run now: this one and those whose last hello is recent.
    fn running(&self) -> BTreeSet<Peer> {
        let now = self.clock.now();
        let core = self.core.borrow();
        let recent = core.last_hellos.values().filter(|(_, at)| now - *at < HELLO_TIMEOUT);
        recent.map(|(peer, _)| *peer).chain([core.node.status(now).me]).collect()
    }

    /// The peers that have asked lately to give up their votes.
    fn leaving(&self) -> BTreeSet<Peer> {
        let now = self.clock.now();
        let core = self.core.borrow();
        let recent =
            core.leave_requests.iter().filter(|(_, at)| now - **at < LEAVE_REQUEST_TIMEOUT);
        recent.map(|(peer, _)| *peer).collect()
    }
}
