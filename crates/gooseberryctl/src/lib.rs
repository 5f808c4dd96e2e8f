//! The operators' command line: applies, checks, compares and shows tables, and prints the status
//! of the control VMs.
//!
//! Every change goes through the replicated log. The command reports whether the change was
//! accepted, refused or is in doubt, which means that it may or may not have been committed.

mod cli;
mod commands;
mod control;
mod files;

use std::{io::Write, process::ExitCode};

use monoio::{LegacyDriver, RuntimeBuilder};

pub use cli::command;

/// The outcome of a command, from which the exit code follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The command succeeded.
    Done,
    /// The command was refused and nothing has changed.
    Refused,
    /// The change may or may not have been committed; the same command can be repeated safely.
    InDoubt,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => ExitCode::SUCCESS,
            Outcome::Refused => ExitCode::from(1),
            Outcome::InDoubt => ExitCode::from(3),
        }
    }
}

/// Runs the command given by `matches` and writes its output to `out`.
///
/// # Errors
///
/// If files cannot be read or no control VM answers.
pub fn run(matches: &clap::ArgMatches, out: &mut dyn Write) -> anyhow::Result<Outcome> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(commands::run(matches, out))
}
