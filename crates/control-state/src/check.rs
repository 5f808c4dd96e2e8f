//! Checks commands before they enter the log, where they could not be refused any more.

use derive_more::{Display, Error, From};
use tables::{Revision, TablesText};

use crate::{Command, OrderKey, codec::CodecError, decode_command};

const TABLE_MAX_BYTES: usize = 1024 * 1024;
const DOCUMENT_MAX_BYTES: usize = 8 * 1024 * 1024;
const NAME_MAX_BYTES: usize = 256;

/// Why a command does not enter the log.
#[derive(Debug, Display, Error, From, Clone, PartialEq, Eq)]
pub enum CommandFault {
    /// It is not a command of this version.
    Unreadable(CodecError),
    /// The tables have faults.
    #[display("{_0}")]
    #[from(ignore)]
    Tables(#[error(not(source))] String),
    /// A text is longer than what the log takes.
    #[display("{what} has more than {limit_bytes} bytes: shorten it")]
    TooLong {
        /// Which text.
        what: &'static str,
        /// The limit.
        limit_bytes: usize,
    },
}

/// Decides whether tables may be put in force.
pub trait TablesCheck {
    /// Checks both tables.
    ///
    /// # Errors
    /// All faults as a text for the operator.
    fn check(&self, text: &TablesText) -> Result<(), String>;
}

/// The rules of crate `tables`.
#[derive(Debug, Clone, Copy, Default)]
pub struct TablesRules;

impl TablesCheck for TablesRules {
    fn check(&self, text: &TablesText) -> Result<(), String> {
        tables::check(Revision(0), text).map(|_| ()).map_err(|faults| faults.to_string())
    }
}

/// Checks an encoded command.
///
/// # Errors
/// Fails with the first fault; the command must then not be proposed.
pub fn check(command: &[u8], rules: &dyn TablesCheck) -> Result<(), CommandFault> {
    match decode_command(command)? {
        Command::ProposeTables(it) => {
            limit("the table of routes", &it.text.routes, TABLE_MAX_BYTES)?;
            limit("the table of pools", &it.text.pools, TABLE_MAX_BYTES)?;
            limit("the change id", &it.change.0, NAME_MAX_BYTES)?;
            rules.check(&it.text).map_err(CommandFault::Tables)
        }
        Command::PutDocument(it) => match it.text.len() <= DOCUMENT_MAX_BYTES {
            true => Ok(()),
            false => {
                let (what, limit_bytes) = ("the document", DOCUMENT_MAX_BYTES);
                Err(CommandFault::TooLong { what, limit_bytes })
            }
        },
        Command::ClaimOrder(it) => check_key(&it.order),
        Command::ReleaseOrder { order, .. } => check_key(&order),
        _ => Ok(()),
    }
}

fn check_key(order: &OrderKey) -> Result<(), CommandFault> {
    limit("the workspace", &order.workspace, NAME_MAX_BYTES)?;
    limit("the route", &order.route, NAME_MAX_BYTES)?;
    limit("the idempotency key", &order.key, NAME_MAX_BYTES)
}

fn limit(what: &'static str, text: &str, limit_bytes: usize) -> Result<(), CommandFault> {
    match text.len() <= limit_bytes {
        true => Ok(()),
        false => Err(CommandFault::TooLong { what, limit_bytes }),
    }
}
