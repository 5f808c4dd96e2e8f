//! The operator's document: the highest version wins.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{Document, DocumentAnswer};

/// The newest document.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct DocumentStore {
    newest: Rc<Document>,
}

impl DocumentStore {
    /// Takes a document over, unless its version was reached before: a resend changes nothing,
    /// and neither does other content under the same version.
    pub(crate) fn put(&mut self, document: Document) -> DocumentAnswer {
        let current = self.newest.version;
        if document.version <= current {
            return DocumentAnswer::Kept { current };
        }
        let version = document.version;
        self.newest = Rc::new(document);
        DocumentAnswer::Accepted { version }
    }

    pub(crate) fn newest(&self) -> &Rc<Document> {
        &self.newest
    }
}
