//! Submits commands to the replicated log and decodes the responses.

use std::time::Duration;

use control_state::{Command, Response, decode_response, encode_command};
use derive_more::{Display, Error};
use rpc::{ControlClient, SubmitResult};

/// The reason why a command has no response.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CommandError {
    /// The command is not in the log and will never be.
    #[display("refused: {reason}")]
    Refused {
        /// The reason, with the remedy.
        reason: String,
    },
    /// The command may or may not be committed; the same command may be submitted again.
    #[display("in doubt: {reason}")]
    InDoubt {
        /// What happened.
        reason: String,
    },
}

/// Submits one command to the log and waits for its response.
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
