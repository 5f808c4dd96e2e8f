//! A text that must not reach a log.

use derive_more::{From, FromStr};

/// A token or key; `Debug` hides it and there is no `Display`.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, From, FromStr)]
pub struct Secret(String);

impl Secret {
    /// The text itself, for comparing and sending.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
