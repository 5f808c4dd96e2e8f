//! The replicated state machine.

use std::rc::Rc;

use duties::{UsageReport, WindowId};
use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};
use wire_form::{ExtensionId, Extensions};

use crate::{
    CodecError, Command, ControlNode, Document, FencingToken, Plan, Response,
    check::CommandFault,
    decode_command,
    document_store::DocumentStore,
    encode_response,
    engines::Engines,
    orders::{KEYS_MAX_BYTES, Orders},
    registry::Registry,
    table_store::TableStore,
    usage_windows::UsageWindows,
};

/// In a snapshot, the settled usage; left out while there is none.
const USAGE: ExtensionId = ExtensionId(1);

/// The replicated state: the result of applying all committed commands.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct State {
    tables: TableStore,
    document: DocumentStore,
    orders: Orders,
    engines: Engines,
    registry: Registry,
    /// An extension of the snapshot, which earlier builds do not know.
    #[serde(skip)]
    usage: UsageWindows,
}

impl State {
    /// Applies a committed command and returns the response.
    pub fn apply(&mut self, command: Command) -> Response {
        match command {
            Command::ProposeTables(it) => self.tables.propose(it).into(),
            Command::PutDocument(it) => self.document.put(it).into(),
            Command::ClaimOrder(it) => self.orders.claim(it).into(),
            Command::CompleteOrder { order, claim, answer } => {
                self.orders.complete(&order, claim, answer).into()
            }
            Command::ReleaseOrder { order, claim } => self.orders.release(&order, claim).into(),
            Command::MarkOrderInDoubt { order, claim } => {
                self.orders.mark_in_doubt(&order, claim).into()
            }
            Command::AcquireFencing { holder } => self.engines.acquire(holder).into(),
            Command::PutPlan { fencing, plan } => self.engines.put_plan(fencing, plan).into(),
            Command::RouterGone { router } => {
                self.orders.router_gone(&router);
                Response::Applied
            }
            Command::AdvanceTime { now_ms } => {
                self.orders.advance_time(now_ms);
                Response::Applied
            }
            Command::RegisterNode(node) => {
                self.registry.register(node);
                Response::Applied
            }
            Command::DeregisterNode { node } => {
                self.registry.deregister(node);
                Response::Applied
            }
            Command::SettleUsage(report) => self.usage.settle(report).into(),
            Command::CloseUsage { window } => {
                self.usage.close(window);
                Response::Applied
            }
        }
    }

    /// Whether there is room for what a command adds to the state. The answer is not part of the
    /// replicated state, so members may differ in it.
    ///
    /// # Errors
    /// The limit that is reached; the command must not be proposed then.
    pub fn admit(&self, command: &Command) -> Result<(), CommandFault> {
        match command {
            Command::ClaimOrder(it) if !self.orders.has_room_for(&it.order) => {
                Err(CommandFault::KeysFull { limit_bytes: KEYS_MAX_BYTES })
            }
            _ => Ok(()),
        }
    }

    /// Applies an encoded command and returns the encoded response.
    pub fn apply_bytes(&mut self, command: &[u8]) -> Vec<u8> {
        let response = match decode_command(command) {
            Ok(command) => self.apply(command),
            Err(_) => Response::Unreadable,
        };
        encode_response(&response)
    }

    /// Encodes the state; the bytes are the same on all nodes after the same commands.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut extensions = Extensions::default();
        if !self.usage.is_empty() {
            extensions
                .insert(USAGE, &self.usage)
                .expect("maps, texts and numbers always serialize");
        }
        wire_form::encode(self, &extensions).expect("maps, texts and numbers always serialize")
    }

    /// Decodes a snapshot; empty bytes stand for the initial state.
    ///
    /// # Errors
    /// Fails if the bytes do not decode to a snapshot of this version.
    pub fn restore(data: &[u8]) -> Result<State, CodecError> {
        if data.is_empty() {
            return Ok(State::default());
        }
        let (mut state, extensions): (State, _) = wire_form::decode(data)?;
        state.usage = extensions.get(USAGE)?.unwrap_or_default();
        state.orders.count_key_bytes();
        Ok(state)
    }

    /// The revision of the tables in force.
    pub fn revision(&self) -> Revision {
        self.tables.revision()
    }

    /// The tables in force.
    pub fn tables(&self) -> &TablesText {
        self.tables.text()
    }

    /// The operator's document in force, with version 0 before the first one.
    pub fn document(&self) -> &Rc<Document> {
        self.document.newest()
    }

    /// The newest fencing token.
    pub fn fencing(&self) -> FencingToken {
        self.engines.fencing()
    }

    /// The holder of the newest fencing token; empty before the first one.
    pub fn fencing_holder(&self) -> &str {
        self.engines.holder()
    }

    /// Whether the usage of a window can no longer be settled.
    pub fn is_usage_settled(&self, window: WindowId) -> bool {
        self.usage.is_settled(window)
    }

    /// The settled usage that has not been reported, from the oldest window to the newest.
    pub fn open_usage(&self) -> Vec<UsageReport> {
        self.usage.open().collect()
    }

    /// The settled usage that is kept, from the oldest window to the newest, and whether each window needs no
    /// further report.
    pub fn settled_usage(&self) -> impl DoubleEndedIterator<Item = (UsageReport, bool)> {
        self.usage.all()
    }

    /// The plan for the engines.
    pub fn plan(&self) -> &Plan {
        self.engines.plan()
    }

    /// The number of retained order keys.
    pub fn order_key_count(&self) -> usize {
        self.orders.len()
    }

    /// The registered control nodes, sorted by node id.
    pub fn control_nodes(&self) -> impl Iterator<Item = &ControlNode> {
        self.registry.nodes()
    }
}
