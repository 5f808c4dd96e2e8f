//! Changes the tables at a control VM as an operator would.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use control_state::{
    ChangeId, CodecError, Command, ProposeTables, Response, TablesAnswer, decode_response,
    encode_command,
};
use derive_more::{Display, Error, From};
use rpc::{ByteCounters, Connection, RpcError, SubmitResult, TablesUpdate, dial};
use tables::{Revision, TablesText};

use super::{Accepted, SiteSize, tables_text};
use crate::loopback::LoopbackAddr;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const LEADER_WAIT: Duration = Duration::from_secs(10);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a change is sent anew after another one came first.
const CONFLICTS_MAX: usize = 3;

/// A change that was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum ChangeFault {
    /// The control VM cannot be reached.
    #[display("{_0}")]
    Rpc(RpcError),
    /// Its answer cannot be read.
    #[display("{_0}")]
    Codec(CodecError),
    /// It refused the change, or does not know what became of it.
    #[display("the change is not in force: {reason}; see the control VM's log")]
    #[from(ignore)]
    NotAccepted {
        /// Why.
        reason: String,
    },
}

/// Makes one change after the other.
pub struct Changer {
    connection: Connection,
    token: String,
    size: SiteSize,
    clock: Rc<dyn Clock>,
    run: u128,
    base: Revision,
    number: u64,
}

impl Changer {
    /// Connects to `control`, showing the operators' `token`; the tables are those of a site of
    /// `size`.
    ///
    /// # Errors
    ///
    /// If there is no connection, or no leader soon.
    pub async fn connect(
        control: LoopbackAddr,
        token: String,
        size: SiteSize,
        clock: Rc<dyn Clock>,
    ) -> Result<Changer, ChangeFault> {
        let connection = dial(control.addr(), CONNECT_TIMEOUT, &ByteCounters::default()).await?;
        let base = confirmed_revision(&connection).await?;
        let since_epoch = clock.wall().duration_since(std::time::UNIX_EPOCH);
        let run = since_epoch.unwrap_or_default().as_nanos();
        Ok(Changer { connection, token, size, clock, run, base, number: 0 })
    }

    /// Changes one row and waits until the change is accepted.
    ///
    /// # Errors
    ///
    /// [`ChangeFault`] where it is not accepted.
    pub async fn change(&mut self) -> Result<Accepted, ChangeFault> {
        self.number += 1;
        for attempt in 0..=CONFLICTS_MAX {
            match self.propose(attempt).await? {
                TablesAnswer::Accepted { revision } => {
                    self.base = revision;
                    return Ok(Accepted { revision, at: self.clock.now() });
                }
                TablesAnswer::Conflict { current } => self.base = current,
                TablesAnswer::ChangeReused => break,
            }
        }
        Err(not_accepted("other changes keep coming first"))
    }

    async fn propose(&self, attempt: usize) -> Result<TablesAnswer, ChangeFault> {
        let command = encode_command(&Command::ProposeTables(ProposeTables {
            change: ChangeId(format!("capacity-{:x}-{}-{attempt}", self.run, self.number)),
            base: self.base,
            text: self.text(),
        }));
        let client = &self.connection.client;
        match client.submit(&self.token, &command, SUBMIT_TIMEOUT).await? {
            SubmitResult::Response(bytes) => match decode_response(&bytes)? {
                Response::Tables(answer) => Ok(answer),
                other => Err(not_accepted(format!("the answer is {other:?}"))),
            },
            SubmitResult::Refused(reason) | SubmitResult::InDoubt(reason) => {
                Err(not_accepted(reason))
            }
        }
    }

    /// The site's tables with another queue length in one row.
    fn text(&self) -> TablesText {
        let TablesText { routes, pools } = tables_text(self.size);
        let queue_max = 100 + self.number % 100;
        TablesText { routes: format!("{}\nqueue_max = {queue_max}\n", routes.trim_end()), pools }
    }
}

/// Waits for a leader and asks for the revision that it confirms.
async fn confirmed_revision(connection: &Connection) -> Result<Revision, ChangeFault> {
    match connection.client.fetch_tables(0, 0, LEADER_WAIT).await? {
        TablesUpdate::Snapshot { revision, confirmed: true, .. } => Ok(Revision(revision)),
        _ => Err(not_accepted("no leader confirms the tables")),
    }
}

fn not_accepted(reason: impl Into<String>) -> ChangeFault {
    ChangeFault::NotAccepted { reason: reason.into() }
}
