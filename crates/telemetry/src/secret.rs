//! A string that must not be logged.

use std::{fs, path::Path};

use anyhow::{Context, ensure};
use derive_more::{From, FromStr};

/// A token or key. Its `Debug` output hides the value, and it does not implement `Display`.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, From, FromStr)]
pub struct Secret(String);

impl Secret {
    /// Reads a secret from a file and trims the white space around it.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is empty.
    pub fn read(path: &Path) -> anyhow::Result<Secret> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("read {}: check the path in the settings", path.display()))?;
        let text = text.trim();
        ensure!(!text.is_empty(), "{} is empty: write the token into it", path.display());
        Ok(Secret(text.to_owned()))
    }

    /// The plain text of the secret, for comparing and sending.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
