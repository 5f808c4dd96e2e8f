//! The state machine as a whole.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};

use crate::{
    CodecError, Command, ControlNode, Document, FencingToken, Plan, Response, codec,
    decode_command, document_store::DocumentStore, encode_response, engines::Engines,
    orders::Orders, registry::Registry, table_store::TableStore,
};

/// Everything that the log has decided.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct State {
    tables: TableStore,
    document: DocumentStore,
    orders: Orders,
    engines: Engines,
    registry: Registry,
}

impl State {
    /// Applies a committed command and gives its answer.
    pub fn apply(&mut self, command: Command) -> Response {
        match command {
            Command::ProposeTables(it) => self.tables.propose(it).into(),
            Command::PutDocument(it) => self.document.put(it).into(),
            Command::ClaimOrder(it) => self.orders.claim(it).into(),
            Command::CompleteOrder { order, claim, answer } => {
                self.orders.complete(&order, claim, answer).into()
            }
            Command::ReleaseOrder { order, claim } => self.orders.release(&order, claim).into(),
            Command::MarkOrderInDoubt { order, claim } => self.orders.doubt(&order, claim).into(),
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
        }
    }

    /// Applies an encoded command and gives the encoded answer.
    pub fn apply_bytes(&mut self, command: &[u8]) -> Vec<u8> {
        let response = match decode_command(command) {
            Ok(command) => self.apply(command),
            Err(_) => Response::Unreadable,
        };
        encode_response(&response)
    }

    /// The whole state as bytes, the same on all nodes after the same commands.
    pub fn snapshot(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Reads a snapshot; empty bytes stand for the first state.
    ///
    /// # Errors
    /// Fails if the bytes are not a snapshot of this version.
    pub fn restore(data: &[u8]) -> Result<State, CodecError> {
        if data.is_empty() {
            return Ok(State::default());
        }
        codec::decode(data)
    }

    /// The revision of the tables in force.
    pub fn revision(&self) -> Revision {
        self.tables.revision()
    }

    /// The tables in force.
    pub fn tables(&self) -> &TablesText {
        self.tables.text()
    }

    /// The operator's document in force; its version is zero before the first one.
    pub fn document(&self) -> &Rc<Document> {
        self.document.newest()
    }

    /// The newest fencing number.
    pub fn fencing(&self) -> FencingToken {
        self.engines.fencing()
    }

    /// Who holds the newest fencing number; empty before the first.
    pub fn fencing_holder(&self) -> &str {
        self.engines.holder()
    }

    /// The plan for the engines.
    pub fn plan(&self) -> &Plan {
        self.engines.plan()
    }

    /// How many order keys are remembered.
    pub fn order_key_count(&self) -> usize {
        self.orders.len()
    }

    /// The control nodes by number.
    pub fn control_nodes(&self) -> impl Iterator<Item = &ControlNode> {
        self.registry.nodes()
    }
}
