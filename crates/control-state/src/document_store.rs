//! The operator's document, of which only the highest version is kept.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{Document, DocumentAnswer};

/// Holds the document with the highest version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct DocumentStore {
    newest: Rc<Document>,
}

impl DocumentStore {
    /// Replaces the document if the new version is higher. A retry changes nothing, and neither
    /// does different content under the current version.
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
