//! The operators' command: apply, check, diff and show tables; status.
//!
//! It changes nothing but through the replicated log, and says of each change whether it was
//! accepted, refused or in doubt.

mod cli;
mod commands;
mod control;
mod files;

use std::{io::Write, process::ExitCode};

use monoio::{LegacyDriver, RuntimeBuilder};

pub use cli::command;

/// What a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was done.
    Done,
    /// It was refused; nothing has changed.
    Refused,
    /// It may or may not have been done; the same command may be given again.
    InDoubt,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Done => ExitCode::SUCCESS,
            Verdict::Refused => ExitCode::from(1),
            Verdict::InDoubt => ExitCode::from(3),
        }
    }
}

/// Runs the command that `matches` hold and writes what it tells to `out`.
///
/// # Errors
///
/// If files cannot be read or no control VM answers.
pub fn run(matches: &clap::ArgMatches, out: &mut dyn Write) -> anyhow::Result<Verdict> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(commands::run(matches, out))
}
