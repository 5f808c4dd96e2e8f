//! Development tasks of the repository that cargo has no command for.

mod codegen;
mod failure_report;
mod known_red;
mod side_by_side;
mod tests;
mod tidy;

use clap::{Arg, Command};

fn main() -> anyhow::Result<()> {
    let codegen =
        Command::new("codegen").about("Compiles the capnp schemas; needs `capnp` on the PATH");
    let side_by_side = Command::new("side-by-side")
        .about("Builds an older commit and tests that a fleet of it is replaced by this build")
        .arg(Arg::new("commit").required(true).help("A commit of this repository's history"));
    let test =
        Command::new("test").about("Runs all tests but those in KNOWN-RED.txt, which are printed");
    let tidy = Command::new("tidy").about("Checks the layout rules that the linter does not cover");
    let matches = Command::new("xtask")
        .about("Development tasks of the repository")
        .subcommand_required(true)
        .subcommands([codegen, side_by_side, test, tidy])
        .get_matches();
    match matches.subcommand() {
        Some(("codegen", _)) => codegen::run(),
        Some(("side-by-side", args)) => {
            side_by_side::run(args.get_one::<String>("commit").expect("a required argument"))
        }
        Some(("tidy", _)) => tidy::run(),
        _ => tests::run(),
    }
}
