//! How the processes of the system authenticate one another.

use derive_more::FromStr;

/// How a process verifies that its caller belongs to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
pub enum Trust {
    /// The caller presents a token from the settings.
    Tokens,
    /// Only processes of the system can reach the network, so every caller is trusted.
    Network,
}
