//! Checks commands before they are put into the log.

/// Refuses what the log should never hold.
pub trait CommandCheck {
    /// Checks one encoded command.
    ///
    /// # Errors
    ///
    /// Why it is refused, with the remedy.
    fn check(&self, command: &[u8]) -> Result<(), String>;
}
