//! Development tasks of the repository that cargo has no command for.

mod codegen;
mod known_red;
mod tests;
mod tidy;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let codegen =
        Command::new("codegen").about("Compiles the capnp schemas; needs `capnp` on the PATH");
    let test =
        Command::new("test").about("Runs all tests but those in KNOWN-RED.txt, which are printed");
    let tidy = Command::new("tidy").about("Checks the layout rules that the linter does not cover");
    let matches = Command::new("xtask")
        .about("Development tasks of the repository")
        .subcommand_required(true)
        .subcommands([codegen, test, tidy])
        .get_matches();
    match matches.subcommand_name() {
        Some("codegen") => codegen::run(),
        Some("tidy") => tidy::run(),
        _ => tests::run(),
    }
}
