//! Commands that wait for their place in the log to be committed.

use std::collections::BTreeMap;

use consensus::{LogIndex, Proposal, Term};
use futures::channel::oneshot;
use rpc::SubmitResult;

/// The waiting callers by the index of their command.
#[derive(Default)]
pub struct Pending {
    waiting: BTreeMap<LogIndex, Vec<(Term, oneshot::Sender<SubmitResult>)>>,
}

impl Pending {
    /// Registers a caller; callers that gave up are forgotten when their index is applied.
    pub fn wait_for(&mut self, proposal: Proposal) -> oneshot::Receiver<SubmitResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(proposal.index).or_default().push((proposal.term, sender));
        receiver
    }

    /// Answers those who wait for `index`; a command of another term was lost and never runs.
    pub fn applied(&mut self, index: LogIndex, term: Term, response: Vec<u8>) {
        self.restored(index.prev());
        for (asked, caller) in self.waiting.remove(&index).unwrap_or_default() {
            let result = match asked == term {
                true => SubmitResult::Response(response.clone()),
                false => {
                    SubmitResult::Refused("another leader took over; send it again".to_owned())
                }
            };
            // A caller that gave up has been told that its command is in doubt.
            let _ = caller.send(result);
        }
    }

    /// Answers those whose place up to `index` was filled by a snapshot: their commands may be in
    /// it, so they are in doubt.
    pub fn restored(&mut self, index: LogIndex) {
        let later = self.waiting.split_off(&index.next());
        let skipped = std::mem::replace(&mut self.waiting, later);
        for (_, caller) in skipped.into_values().flatten() {
            let reason = "a snapshot may hold the command; send the same command again".to_owned();
            let _ = caller.send(SubmitResult::InDoubt(reason));
        }
    }
}
