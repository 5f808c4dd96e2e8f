//! Access to the operator's document for the operators' API of this control VM.

use std::{cell::RefCell, rc::Rc, time::Duration};

use control_state::{Command, Document, DocumentAnswer, Response, decode_response, encode_command};
use derive_more::{Display, Error};
use httpio::Bytes;
use rpc::SubmitResult;

use crate::replica::Replica;

/// The timeout of a confirmed read, below the 1 s after which operators try another control VM.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// A platform's API for operators, served on the operators' listener.
pub trait OperatorApi {
    /// Returns the handler of the listener's requests.
    fn handler(&self, documents: Documents) -> Rc<dyn httpio::server::Handler>;
}

/// An operator's call cannot be answered at the moment; the same call may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Unavailable {
    /// What is missing.
    pub reason: String,
}

/// The operator's document as all its readers share it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedDocument {
    /// The operator's version; 0 means that there is no document.
    pub version: u64,
    /// The text; clones share it.
    pub text: Bytes,
}

/// Reads and replaces the operator's document; clones share all state.
#[derive(Clone)]
pub struct Documents {
    replica: Rc<Replica>,
    /// The document that was read last. A slow reader holds its text for long.
    read: Rc<RefCell<SharedDocument>>,
}

impl Documents {
    pub(crate) fn new(replica: Rc<Replica>) -> Documents {
        Documents { replica, read: Rc::default() }
    }

    /// Puts a document in force, unless one of the same or a higher version already is.
    ///
    /// # Errors
    ///
    /// If the document is not known to be committed on a majority of synced disks.
    pub async fn put(&self, document: Document) -> Result<DocumentAnswer, Unavailable> {
        let version = document.version;
        let command = encode_command(&Command::PutDocument(document));
        let result = self.replica.submit(command).await;
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

    /// The newest document, at least as new as the one committed when this was called.
    ///
    /// # Errors
    ///
    /// If no leader confirms within `READ_TIMEOUT` that the document is the newest.
    pub async fn newest(&self) -> Result<SharedDocument, Unavailable> {
        match self.replica.confirm(READ_TIMEOUT).await {
            true => Ok(self.shared()),
            false => {
                tracing::info!(
                    event = "document_unconfirmed",
                    held = self.replica.document().version
                );
                Err(Unavailable { reason: "no leader confirmed the newest document".to_owned() })
            }
        }
    }

    /// The document as of the last entry applied here, copied once for all its readers.
    fn shared(&self) -> SharedDocument {
        let newest = self.replica.document();
        let mut read = self.read.borrow_mut();
        // The log keeps the first document of each version.
        if read.version != newest.version {
            let text = Bytes::copy_from_slice(&newest.text);
            *read = SharedDocument { version: newest.version, text };
        }
        read.clone()
    }
}
