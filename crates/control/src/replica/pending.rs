//! Proposed commands that wait for the commit of their log entry.

use std::collections::BTreeMap;

use consensus::{LogIndex, Proposal, Term};
use futures::channel::oneshot;
use rpc::SubmitResult;

/// The waiting callers by the log index of their command.
#[derive(Default)]
pub struct Pending {
    waiting: BTreeMap<LogIndex, Vec<(Term, oneshot::Sender<SubmitResult>)>>,
}

impl Pending {
    /// Registers a caller.
    ///
    /// A caller that has timed out stays registered until its index is applied.
    pub fn wait_for(&mut self, proposal: Proposal) -> oneshot::Receiver<SubmitResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(proposal.index).or_default().push((proposal.term, sender));
        receiver
    }

    /// Answers the callers that wait for `index`; those that wait for an earlier one are in doubt.
    ///
    /// If the applied entry has another term than the proposal, the command was overwritten by
    /// another leader and never runs.
    pub fn applied(&mut self, index: LogIndex, term: Term, response: Vec<u8>) {
        self.restored(index.prev());
        for (proposed_term, caller) in self.waiting.remove(&index).unwrap_or_default() {
            let result = match proposed_term == term {
                true => SubmitResult::Response(response.clone()),
                false => {
                    SubmitResult::Refused("another leader took over; send it again".to_owned())
                }
            };
            // A caller that timed out has already reported its command as in doubt.
            let _ = caller.send(result);
        }
    }

    /// Answers the callers that wait for entries up to `index`, which a snapshot replaced.
    ///
    /// Their commands may be part of the snapshot, so they are in doubt.
    pub fn restored(&mut self, index: LogIndex) {
        let later = self.waiting.split_off(&index.next());
        let skipped = std::mem::replace(&mut self.waiting, later);
        for (_, caller) in skipped.into_values().flatten() {
            let reason = "a snapshot may hold the command; send the same command again".to_owned();
            let _ = caller.send(SubmitResult::InDoubt(reason));
        }
    }
}
