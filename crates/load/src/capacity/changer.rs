//! Proposes table changes to a control VM, as an operator does.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use control_state::{
    ChangeId, CodecError, Command, ProposeTables, Response, TablesAnswer, decode_response,
    encode_command,
};
use derive_more::{Display, Error, From};
use rpc::{ByteCounters, Connection, RpcError, SubmitResult, TablesUpdate, dial};
use tables::{Revision, TablesText};

use super::{SiteSize, TimedRevision, tables_text};
use crate::loopback::LoopbackAddr;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of retries of a change after a conflict with a concurrent change.
const CONFLICT_RETRIES_MAX: usize = 3;

/// The reason why a change was not confirmed as accepted.
#[derive(Debug, Display, Error, From)]
pub enum ChangeFault {
    /// The control VM cannot be reached.
    #[display("{_0}")]
    Rpc(RpcError),
    /// Its answer cannot be decoded.
    #[display("{_0}")]
    Codec(CodecError),
    /// It refused the change, or the result of the change is unknown.
    #[display("the change was not confirmed: {reason}; see the control VM's log")]
    #[from(ignore)]
    NotConfirmed {
        /// The reason.
        reason: String,
    },
}

/// Proposes changes one after another.
pub struct Changer {
    connection: Connection,
    token: String,
    size: SiteSize,
    clock: Rc<dyn Clock>,
    run_id: u128,
    base_revision: Revision,
    change_number: u64,
}

impl Changer {
    /// Connects to `control` with the operators' `token`. Proposed tables describe a site of
    /// `size`.
    ///
    /// # Errors
    ///
    /// [`ChangeFault`] if the connection fails or no leader is elected in time.
    pub async fn connect(
        control: LoopbackAddr,
        token: String,
        size: SiteSize,
        clock: Rc<dyn Clock>,
    ) -> Result<Changer, ChangeFault> {
        let connection = dial(control.addr(), CONNECT_TIMEOUT, &ByteCounters::default()).await?;
        let base_revision = confirmed_revision(&connection).await?;
        let since_epoch = clock.wall().duration_since(std::time::UNIX_EPOCH);
        let run_id = since_epoch.unwrap_or_default().as_nanos();
        Ok(Changer { connection, token, size, clock, run_id, base_revision, change_number: 0 })
    }

    /// Proposes a change of one row and waits until it is accepted.
    ///
    /// # Errors
    ///
    /// [`ChangeFault`] if the change is not confirmed as accepted.
    pub async fn change(&mut self) -> Result<TimedRevision, ChangeFault> {
        self.change_number += 1;
        for attempt in 0..=CONFLICT_RETRIES_MAX {
            match self.propose(attempt).await? {
                TablesAnswer::Accepted { revision } => {
                    self.base_revision = revision;
                    return Ok(TimedRevision { revision, at: self.clock.now() });
                }
                TablesAnswer::Conflict { current } => self.base_revision = current,
                TablesAnswer::ChangeReused => break,
            }
        }
        Err(not_confirmed(
            "every attempt conflicted with a concurrent change, or its id was used before",
        ))
    }

    async fn propose(&self, attempt: usize) -> Result<TablesAnswer, ChangeFault> {
        let command = encode_command(&Command::ProposeTables(ProposeTables {
            change: ChangeId(format!(
                "capacity-{:x}-{}-{attempt}",
                self.run_id, self.change_number
            )),
            base: self.base_revision,
            text: self.text(),
        }));
        let client = &self.connection.client;
        match client.submit(&self.token, &command, SUBMIT_TIMEOUT).await? {
            SubmitResult::Response(bytes) => match decode_response(&bytes)? {
                Response::Tables(answer) => Ok(answer),
                other => Err(not_confirmed(format!("the answer is {other:?}"))),
            },
            SubmitResult::Refused(reason) | SubmitResult::InDoubt(reason) => {
                Err(not_confirmed(reason))
            }
        }
    }

    /// The site's tables with a different `queue_max` in one row.
    fn text(&self) -> TablesText {
        let TablesText { routes, pools } = tables_text(self.size);
        let queue_max = 100 + self.change_number % 100;
        TablesText { routes: format!("{}\nqueue_max = {queue_max}\n", routes.trim_end()), pools }
    }
}

/// Waits for a leader and returns the revision that it confirms.
async fn confirmed_revision(connection: &Connection) -> Result<Revision, ChangeFault> {
    match connection.client.fetch_tables(0, 0, LEADER_TIMEOUT).await? {
        TablesUpdate::Snapshot { revision, confirmed: true, .. } => Ok(Revision(revision)),
        _ => Err(not_confirmed("no leader confirms the tables")),
    }
}

fn not_confirmed(reason: impl Into<String>) -> ChangeFault {
    ChangeFault::NotConfirmed { reason: reason.into() }
}
