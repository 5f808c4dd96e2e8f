//! Runs the tests of the workspace, except those listed in KNOWN-RED.txt.

use std::{
    collections::BTreeMap,
    env, io,
    path::Path,
    process::{Command, Stdio},
};

use anyhow::{Context, ensure};

use crate::{failure_report::FailureReport, known_red};

/// Runs the tests and prints the entries of those that were skipped.
pub(crate) fn run() -> anyhow::Result<()> {
    let known_faults = known_red::load(Path::new("."))?;
    let mut skipped_tests: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for entry in &known_faults {
        ensure_listed(&entry.package, &entry.test)?;
        skipped_tests.entry(&entry.package).or_default().push(&entry.test);
    }
    let mut failures = FailureReport::default();
    let mut all_passed = run_other_packages(skipped_tests.keys(), &mut failures)?;
    for (package, tests) in &skipped_tests {
        all_passed &= run_package(package, tests, &mut failures)?;
    }
    for entry in &known_faults {
        println!("known red, not run: {}", entry.line);
    }
    failures.print();
    ensure!(all_passed, "some tests failed: they are listed above and in the errors of cargo");
    Ok(())
}

/// Checks that a package has the test, so that an entry of a renamed or removed test is noticed.
fn ensure_listed(package: &str, test: &str) -> anyhow::Result<()> {
    let output = cargo_test()
        .args(["--quiet", "--package", package, "--", "--list", "--exact", test])
        .output()
        .context("cannot run cargo")?;
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "cannot list the tests of `{package}`: {errors}");
    let listed = String::from_utf8_lossy(&output.stdout);
    let is_listed = listed.lines().any(|it| it.strip_suffix(": test") == Some(test));
    ensure!(
        is_listed,
        "KNOWN-RED.txt: package `{package}` has no test `{test}`; correct the entry"
    );
    Ok(())
}

/// Runs all tests of the packages that have no skipped test; returns whether they passed.
fn run_other_packages<'a>(
    excluded: impl Iterator<Item = &'a &'a str>,
    failures: &mut FailureReport,
) -> anyhow::Result<bool> {
    let mut command = cargo_test();
    command.args(["--workspace", "--no-fail-fast"]);
    for package in excluded {
        command.args(["--exclude", package]);
    }
    run_tests(command, failures)
}

/// Runs the tests of a package except those with exactly the given names; returns whether they
/// passed.
fn run_package(
    package: &str,
    skipped: &[&str],
    failures: &mut FailureReport,
) -> anyhow::Result<bool> {
    let mut command = cargo_test();
    command.args(["--package", package, "--no-fail-fast", "--", "--exact"]);
    for test in skipped {
        command.args(["--skip", test]);
    }
    run_tests(command, failures)
}

/// Runs test programs, and keeps what they report of failed tests; returns whether all passed.
fn run_tests(mut command: Command, failures: &mut FailureReport) -> anyhow::Result<bool> {
    let mut child = command.stdout(Stdio::piped()).spawn()?;
    let output = child.stdout.take().context("the output is piped")?;
    failures.collect(io::BufReader::new(output), io::stdout())?;
    Ok(child.wait()?.success())
}

fn cargo_test() -> Command {
    let mut command = Command::new(env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    command.args(["test", "--locked"]);
    command
}
