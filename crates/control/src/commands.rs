//! Validates commands before they are appended to the log.

/// Rejects commands that must not enter the log.
pub trait CommandCheck {
    /// Checks one encoded command.
    ///
    /// # Errors
    ///
    /// The reason for the rejection, with the remedy.
    fn check(&self, command: &[u8]) -> Result<(), String>;
}
