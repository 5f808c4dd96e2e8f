//! Starts `gooseberryctl`; the library holds all of its logic.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let matches = gooseberryctl::command().get_matches();
    match gooseberryctl::run(&matches, &mut io::stdout().lock()) {
        Ok(verdict) => verdict.into(),
        Err(err) => {
            eprintln!("gooseberryctl: {err:#}");
            ExitCode::from(2)
        }
    }
}
