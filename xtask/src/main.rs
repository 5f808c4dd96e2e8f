//! Chores of the repository that need more than one cargo command.

mod known_red;
mod tests;
mod tidy;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("xtask")
        .about("Chores of the repository")
        .subcommand_required(true)
        .subcommand(
            Command::new("tidy").about("Checks the layout rules that the linter does not know"),
        )
        .subcommand(
            Command::new("test").about("Runs all tests; passes over KNOWN-RED.txt and prints it"),
        )
        .get_matches();
    match matches.subcommand_name() {
        Some("tidy") => tidy::run(),
        _ => tests::run(),
    }
}
