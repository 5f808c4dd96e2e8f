//! The entry point of `gooseberry-router`; all logic is in the library.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};
use daemon::{Launch, Signals};

fn main() -> ExitCode {
    // First, since a signal without a handler ends the process.
    let signals = Signals::install();
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("The settings file, in INI")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let matches = Command::new("gooseberry-router")
        .about("Routes requests of language models and services to backend servers")
        .arg(config)
        .get_matches();
    let config = matches.get_one::<PathBuf>("config").expect("clap requires it");
    router::daemon::run(Launch {
        program: env!("CARGO_BIN_NAME"),
        version: env!("CARGO_PKG_VERSION"),
        settings_file: config,
        signals,
    })
}
