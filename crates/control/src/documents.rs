//! The operator's document as a front on this control VM sees it.

use std::{rc::Rc, time::Duration};

use control_state::{Command, Document, DocumentAnswer, Response, decode_response, encode_command};
use derive_more::{Display, Error};
use rpc::SubmitResult;

use crate::replica::Replica;

/// How long a read may look for a leader; operators turn to another control VM after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves an operators' protocol of its own on the operators' listener.
pub trait OperatorApi {
    /// The handler of the listener's requests.
    fn handler(&self, documents: Documents) -> Rc<dyn httpio::server::Handler>;
}

/// Why an operator's call cannot be answered here and now; the same call may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Unavailable {
    /// What is missing.
    pub reason: String,
}

/// Reads and replaces the operator's document.
#[derive(Clone)]
pub struct Documents {
    replica: Rc<Replica>,
}

impl Documents {
    pub(crate) fn new(replica: Rc<Replica>) -> Documents {
        Documents { replica }
    }

    /// Puts a document in force, unless one of its version or a higher one is.
    ///
    /// # Errors
    ///
    /// If it is not known to be committed on a majority of synced disks.
    pub async fn put(&self, document: Document) -> Result<DocumentAnswer, Unavailable> {
        let version = document.version;
        let result = self.replica.submit(encode_command(&Command::PutDocument(document))).await;
        let answer = match result {
            SubmitResult::Response(bytes) => match decode_response(&bytes) {
                Ok(Response::Document(answer)) => Ok(answer),
                other => Err(format!("the log gave {other:?} to a document")),
            },
            SubmitResult::Refused(reason) | SubmitResult::InDoubt(reason) => Err(reason),
        };
        tracing::info!(event = "document_put", version, answer = ?answer);
        answer.map_err(|reason| Unavailable { reason })
    }

    /// The newest document, with everything that was committed when this was called.
    ///
    /// # Errors
    ///
    /// If no leader confirms in time which one is the newest.
    pub async fn newest(&self) -> Result<Rc<Document>, Unavailable> {
        match self.replica.confirm(READ_TIMEOUT).await {
            true => Ok(self.replica.document()),
            false => {
                tracing::info!(
                    event = "document_unconfirmed",
                    held = self.replica.document().version
                );
                Err(Unavailable { reason: "no leader confirmed the newest document".to_owned() })
            }
        }
    }
}
