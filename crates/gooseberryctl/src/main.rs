//! The entry point of `gooseberryctl`; its logic is in the library.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let matches = gooseberryctl::command().get_matches();
    match gooseberryctl::run(&matches, &mut io::stdout().lock()) {
        Ok(outcome) => outcome.into(),
        // A reader such as `head` may close the pipe early; that is no error.
        Err(err) if is_broken_pipe(&err) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("gooseberryctl: {err:#}");
            ExitCode::from(2)
        }
    }
}

fn is_broken_pipe(err: &anyhow::Error) -> bool {
    let io = err.downcast_ref::<io::Error>();
    io.is_some_and(|it| it.kind() == io::ErrorKind::BrokenPipe)
}
