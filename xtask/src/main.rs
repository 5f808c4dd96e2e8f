//! Chores of the repository that need more than one cargo command.

mod codegen;
mod known_red;
mod tests;
mod tidy;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let codegen =
        Command::new("codegen").about("Compiles the capnp schemas; needs `capnp` on the PATH");
    let test =
        Command::new("test").about("Runs all tests; passes over KNOWN-RED.txt and prints it");
    let tidy = Command::new("tidy").about("Checks the layout rules that the linter does not know");
    let matches = Command::new("xtask")
        .about("Chores of the repository")
        .subcommand_required(true)
        .subcommands([codegen, test, tidy])
        .get_matches();
    match matches.subcommand_name() {
        Some("codegen") => codegen::run(),
        Some("tidy") => tidy::run(),
        _ => tests::run(),
    }
}
