//! The graceful stop of a control VM: other members take over its roles, and operators' calls are answered.

use std::{pin::pin, rc::Rc, time::Duration};

use consensus::NodeId;
use futures::future::{self, OptionFuture};
use httpio::{
    server::{self, Handler, OpenConnections, ServerSettings, StopSignals},
    signal::{self, Trigger},
};
use monoio::{net::TcpListener, task::JoinHandle, time};

use crate::replica::{COMMIT_TIMEOUT, Replica};

/// How long a graceful stop waits until a learner has this member's vote.
const GIVE_UP_VOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a graceful stop waits until another member leads.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a graceful stop waits for calls that have not arrived completely.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a graceful stop then waits for answers: a call may wait for another member as long as for a commit.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1).saturating_add(COMMIT_TIMEOUT);

/// The server of the operators' API.
pub(crate) struct OperatorServer {
    close: Trigger,
    refuse: Trigger,
    open: OpenConnections,
    served: JoinHandle<()>,
}

impl OperatorServer {
    /// Serves calls in the background.
    pub(crate) fn start(
        listener: TcpListener,
        settings: ServerSettings,
        handler: Rc<dyn Handler>,
    ) -> OperatorServer {
        let (close, closing) = signal::signal();
        let (refuse, refusing) = signal::signal();
        let stop = StopSignals { closing, refusing, ..StopSignals::default() };
        let open = settings.open.clone();
        let served = monoio::spawn(server::serve(listener, settings, stop, handler));
        OperatorServer { close, refuse, open, served }
    }

    /// Accepts no more calls and waits until those in flight are answered; returns how many are not.
    async fn stop(self) -> usize {
        let OperatorServer { close, refuse, open, served } = self;
        close.raise();
        let time_over = pin!(async {
            time::sleep(RECEIVE_TIMEOUT).await;
            refuse.raise();
            time::sleep(ANSWER_TIMEOUT).await;
        });
        future::select(time_over, served).await;
        open.count()
    }
}

/// Hands over what this member does for the others, and answers the operators' calls in flight.
pub(crate) async fn run(replica: &Replica, operators: Option<OperatorServer>) {
    let handed_over = async {
        transfer_leadership(replica).await;
        give_up_vote(replica).await;
    };
    let answered = OptionFuture::from(operators.map(OperatorServer::stop));
    let (requests_cut, ()) = future::join(answered, handed_over).await;
    tracing::info!(event = "stopped", requests_cut = requests_cut.unwrap_or_default());
}

/// Moves this member's vote to a synced learner, if there is one, so that another VM may fail as soon
/// as this one is gone.
async fn give_up_vote(replica: &Replica) {
    if time::timeout(GIVE_UP_VOTE_TIMEOUT, replica.give_up_vote()).await.is_err() {
        tracing::warn!(event = "vote_kept", reason = "no learner took it in time");
    }
}

/// Transfers the leadership to another member, so that commands do not wait for an election.
async fn transfer_leadership(replica: &Replica) {
    let Some(target) = replica.start_transfer() else { return };
    tracing::info!(event = "handing_over", target = %target.node);
    let transferred = async {
        while replica.leads() {
            time::sleep(TRANSFER_POLL_INTERVAL).await;
        }
    };
    if time::timeout(TRANSFER_TIMEOUT, transferred).await.is_err() {
        tracing::warn!(event = "handover_timed_out", node = %NodeId(target.node.0));
    }
}
