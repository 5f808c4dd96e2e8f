//! Guards against a daemon of the product that a signal ends while it still reads its settings.

use std::fs;

use rustix::{
    fs::{CWD, FileType, Mode, OFlags, mknodat, open},
    process::Signal,
};
use system_tests::{Process, binary, wait_for};

/// Requests a reload and a stop while the program reads settings that nobody writes. Returns its exit
/// code, and whether its log says that it stopped.
fn check(program: &str, args: &[&str]) -> (Option<i32>, bool) {
    let dir = tempfile::tempdir().expect("a folder for the test");
    let (settings, log) = (dir.path().join("settings.ini"), dir.path().join("log"));
    mknodat(CWD, &settings, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a FIFO");
    let mut args: Vec<_> = args.iter().map(|it| (*it).to_owned()).collect();
    args.extend(["--config".to_owned(), settings.display().to_string()]);
    let mut process = Process::start(&binary(program), &args, &log);
    // Opening the FIFO fails until the process has opened it, too.
    let flags = OFlags::WRONLY | OFlags::NONBLOCK;
    let _writer =
        wait_for("the process to read its settings", || open(&settings, flags, Mode::empty()).ok());
    process.signal(Signal::HUP);
    process.signal(Signal::TERM);
    wait_for("the end of the process", || process.has_exited().then_some(()));
    let log = fs::read_to_string(log).expect("the process has a log");
    (process.wait().code(), log.contains("event=stopped "))
}

/// Guards against an end by signal 1 or 15 in the middle of a start.
#[test]
fn before_settings() {
    let ends = [check("gooseberry-router", &[]), check("gooseberry-control", &["run"])];
    assert_eq!(ends, [(Some(0), true), (Some(0), true)]);
}
