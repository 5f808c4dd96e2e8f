//! The command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused and nothing changed, 2 another error, \
    3 in doubt: give the same command again with the same --change-id.";

/// Returns the command with all of its subcommands.
pub fn command() -> Command {
    Command::new("gooseberryctl")
        .about("Applies, checks, compares and shows the tables of routes and pools")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(control_arg())
        .arg(token_arg())
        .subcommand(with_files(
            Command::new("check").about("Checks two files without contacting a control VM"),
        ))
        .subcommand(with_files(
            Command::new("diff").about("Compares two files with what is in force"),
        ))
        .subcommand(apply_command())
        .subcommand(Command::new("show").about("Prints the tables in force"))
        .subcommand(Command::new("status").about("Prints the state of each control VM"))
}

/// Returns the addresses of the control VMs in the order in which they are tried.
pub(crate) fn control_addrs(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many("control").map(|it| it.copied().collect()).unwrap_or_default()
}

fn apply_command() -> Command {
    let base = Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("The revision that the change starts from; without it, the one in force now");
    let change_id = Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .help("Identifies the change, so that repeating it returns the first answer");
    with_files(Command::new("apply").about("Puts two files in force everywhere"))
        .arg(base)
        .arg(change_id)
}

fn with_files(command: Command) -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    command.arg(file("routes", "The table of routes")).arg(file("pools", "The table of pools"))
}

fn control_arg() -> Arg {
    Arg::new("control")
        .long("control")
        .default_value("127.0.0.1:7101")
        .value_name("ADDRESS:PORT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("The control VMs, separated by commas")
}

fn token_arg() -> Arg {
    Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The file with the operators' token")
}
