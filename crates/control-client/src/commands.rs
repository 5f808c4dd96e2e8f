//! Puts commands into the replicated log and reads the answers.

use std::time::Duration;

use control_state::{Command, Response, decode_response, encode_command};
use derive_more::{Display, Error};
use rpc::{ControlClient, SubmitResult};

/// Why a command has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CommandError {
    /// It is not in the log and never will be.
    #[display("refused: {reason}")]
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
    /// It may or may not be committed; the same command may be given again.
    #[display("in doubt: {reason}")]
    InDoubt {
        /// What happened.
        reason: String,
    },
}

/// Puts one command into the log.
///
/// # Errors
///
/// If the command was refused, or it is not known within `timeout` whether it is committed.
pub async fn submit(
    client: &ControlClient,
    token: &str,
    command: &Command,
    timeout: Duration,
) -> Result<Response, CommandError> {
    let result = client.submit(token, &encode_command(command), timeout).await;
    match result {
        Ok(SubmitResult::Response(bytes)) => {
            decode_response(&bytes).map_err(|err| CommandError::InDoubt { reason: err.to_string() })
        }
        Ok(SubmitResult::Refused(reason)) => Err(CommandError::Refused { reason }),
        Ok(SubmitResult::InDoubt(reason)) => Err(CommandError::InDoubt { reason }),
        Err(err) => Err(CommandError::InDoubt { reason: err.to_string() }),
    }
}
