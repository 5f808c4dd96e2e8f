//! The command line of `gooseberry-control`; the library holds all of its logic.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use control::{FormatMode, Settings};
use daemon::{Launch, Signals};

fn main() -> anyhow::Result<ExitCode> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("format", args)) => format(args).map(|()| ExitCode::SUCCESS),
        Some((_, args)) => Ok(control::daemon::run(Launch {
            program: env!("CARGO_BIN_NAME"),
            version: env!("CARGO_PKG_VERSION"),
            settings_file: config(args)?,
            signals: Signals::install(),
        })),
        None => unreachable!("clap requires a subcommand"),
    }
}

fn command() -> Command {
    let found = Arg::new("found")
        .long("found")
        .action(ArgAction::SetTrue)
        .help("Founds a new cluster: give it to one node, once in the cluster's life");
    let format = Command::new("format")
        .about("Formats the data folder; a node whose disk was lost formats a new one to join")
        .arg(config_arg())
        .arg(found);
    Command::new("gooseberry-control")
        .about("Replicates the tables and the claims of orders, and serves them to routers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Runs the daemon").arg(config_arg()))
        .subcommand(format)
}

fn config_arg() -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("The settings file, in INI")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn config(args: &ArgMatches) -> anyhow::Result<&PathBuf> {
    args.get_one("config").context("--config is a required argument")
}

fn format(args: &ArgMatches) -> anyhow::Result<()> {
    let settings = Settings::read(config(args)?)?;
    let mode = if args.get_flag("found") { FormatMode::Bootstrap } else { FormatMode::Join };
    let me = control::format(&settings, mode)?;
    println!("formatted {} as member {me}", settings.data_dir.display());
    Ok(())
}
