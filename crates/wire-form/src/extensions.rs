//! The extensions of a message.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{FormError, form_error};

/// The number of an extension, unique within a form and never used again for anything else.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ExtensionId(pub u16);

/// The extensions of one message, those of other builds included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Extensions {
    contents: BTreeMap<ExtensionId, Vec<u8>>,
}

impl Extensions {
    /// Adds an extension.
    ///
    /// # Errors
    /// If the codec cannot represent the content.
    pub fn insert<T: Serialize>(&mut self, id: ExtensionId, content: &T) -> Result<(), FormError> {
        let content = postcard::to_stdvec(content).map_err(form_error)?;
        self.contents.insert(id, content);
        Ok(())
    }

    /// The content of an extension, or `None` if the sender's build does not know it.
    ///
    /// # Errors
    /// If the content is not of the type that the extension has.
    pub fn get<T: DeserializeOwned>(&self, id: ExtensionId) -> Result<Option<T>, FormError> {
        let content = self.contents.get(&id);
        content.map(|it| postcard::from_bytes(it).map_err(form_error)).transpose()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Each extension is written as its number, the length of its content, and the content.
    pub(crate) fn append_to(&self, bytes: &mut Vec<u8>) {
        for extension in &self.contents {
            let extension = postcard::to_stdvec(&extension);
            bytes.extend(extension.expect("numbers and bytes always serialize"));
        }
    }

    pub(crate) fn read(mut bytes: &[u8]) -> Result<Extensions, FormError> {
        let mut extensions = Extensions::default();
        while !bytes.is_empty() {
            let ((id, content), rest) = postcard::take_from_bytes(bytes).map_err(form_error)?;
            extensions.contents.insert(id, content);
            bytes = rest;
        }
        Ok(extensions)
    }
}
