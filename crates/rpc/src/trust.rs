//! What the system's own processes go by when one calls another.

use derive_more::FromStr;

/// What proves that a caller belongs to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
pub enum Trust {
    /// The tokens of the settings.
    Tokens,
    /// The network, which only processes of the system can reach.
    Network,
}
