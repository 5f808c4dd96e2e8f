//! Tests the build of the work tree beside that of an older commit.

use std::{env, path::Path, process::Command};

use anyhow::{Context, ensure};

/// The variable by which the test finds the program of the other build.
const OTHER_BUILD: &str = "GOOSEBERRY_OTHER_BUILD";

/// Builds `commit` in a folder of its own under `target`, and runs the test with it as the other build.
pub(crate) fn run(commit: &str) -> anyhow::Result<()> {
    let folder = env::current_dir()?.join("target").join("side-by-side").join(commit);
    if !folder.exists() {
        let parent = folder.parent().context("a folder under target")?;
        std::fs::create_dir_all(parent)?;
        run_command(Command::new("git").args(["clone", "--quiet", "."]).arg(&folder))?;
    }
    run_command(git(&folder).args(["checkout", "--quiet", commit]))?;
    let mut build = cargo();
    build.args(["build", "--release", "--locked", "--package", "platform"]).current_dir(&folder);
    run_command(&mut build)?;
    let program = folder.join("target/release/gooseberry-platform");
    let mut test = cargo();
    test.args(["test", "--locked", "--package", "platform", "--test", "replaced_builds"]);
    test.args(["--", "--nocapture", "--test-threads", "1"]).env(OTHER_BUILD, program);
    run_command(&mut test)
}

fn git(folder: &Path) -> Command {
    let mut command = Command::new("git");
    command.arg("-C").arg(folder);
    command
}

fn cargo() -> Command {
    Command::new(env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()))
}

fn run_command(command: &mut Command) -> anyhow::Result<()> {
    let status = command.status().with_context(|| format!("cannot run {command:?}"))?;
    ensure!(status.success(), "{command:?} failed with {status}: read its output above");
    Ok(())
}
