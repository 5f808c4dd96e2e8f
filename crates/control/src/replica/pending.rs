//! Commands that wait for their place in the log to be committed.

use std::collections::BTreeMap;

use consensus::{LogIndex, Proposal, Term};
use futures::channel::oneshot;
use rpc::SubmitResult;

/// The waiting callers by the index of their command.
#[derive(Default)]
pub(super) struct Pending {
    waiting: BTreeMap<LogIndex, Vec<(Term, oneshot::Sender<SubmitResult>)>>,
}

impl Pending {
    /// Registers a caller; callers that gave up are forgotten when their index is applied.
    pub(super) fn wait_for(&mut self, proposal: Proposal) -> oneshot::Receiver<SubmitResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(proposal.index).or_default().push((proposal.term, sender));
        receiver
    }

    /// Answers those who wait for `index`; a command of another term was lost and never runs.
    pub(super) fn applied(&mut self, index: LogIndex, term: Term, response: Vec<u8>) {
        let later = self.waiting.split_off(&index.next());
        let due = std::mem::replace(&mut self.waiting, later);
        for (at, callers) in due {
            for (asked, caller) in callers {
                let result = if at == index && asked == term {
                    SubmitResult::Response(response.clone())
                } else {
                    SubmitResult::Refused(
                        "another leader took over first; send it again".to_owned(),
                    )
                };
                // A caller that gave up has been told that its command is in doubt.
                let _ = caller.send(result);
            }
        }
    }
}
