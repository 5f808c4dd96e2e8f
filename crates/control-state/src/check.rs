//! Validates commands before they enter the log, because a committed command cannot be rejected.

use derive_more::{Display, Error, From};
use tables::{Revision, TablesText};

use crate::{Command, OrderKey, codec::CodecError, decode_command};

const TABLE_MAX_BYTES: usize = 1024 * 1024;
const DOCUMENT_MAX_BYTES: usize = 8 * 1024 * 1024;
const NAME_MAX_BYTES: usize = 256;

/// Why a command is rejected before it enters the log.
#[derive(Debug, Display, Error, From, Clone, PartialEq, Eq)]
pub enum CommandFault {
    /// The bytes do not decode to a command of this version.
    Unreadable(CodecError),
    /// The tables are invalid; the text lists all faults.
    #[display("{_0}")]
    #[from(ignore)]
    Tables(#[error(not(source))] String),
    /// A text exceeds the size limit of the log.
    #[display("{what} has more than {limit_bytes} bytes: shorten it")]
    TooLong {
        /// The text that is too long.
        what: &'static str,
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The retained keys of orders use up their limit.
    #[display("the keys of orders have {limit_bytes} bytes: retry once older ones have expired")]
    KeysFull {
        /// The limit in bytes.
        limit_bytes: usize,
    },
}

/// Validates proposed tables before they are put in force.
pub trait TablesCheck {
    /// Validates both tables.
    ///
    /// # Errors
    /// Returns all faults as one text for the operator.
    fn check(&self, text: &TablesText) -> Result<(), String>;
}

/// Validates tables by the rules of the `tables` crate.
#[derive(Debug, Clone, Copy, Default)]
pub struct TablesRules;

impl TablesCheck for TablesRules {
    fn check(&self, text: &TablesText) -> Result<(), String> {
        tables::check(Revision(0), text).map(|_| ()).map_err(|faults| faults.to_string())
    }
}

/// Validates an encoded command.
///
/// # Errors
/// Returns the first fault found; the command must not be proposed then.
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
