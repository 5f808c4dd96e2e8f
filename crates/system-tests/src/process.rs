//! One program of the workspace, run as a process.

use std::{
    env,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
};

use rustix::process::{Pid, Signal, kill_process};

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl From<Child> for Process {
    fn from(child: Child) -> Process {
        Process { child }
    }
}

impl Process {
    /// Starts the program at `path` and appends its output to the file `log`.
    ///
    /// # Panics
    /// When the log cannot be written or the program does not run.
    #[must_use]
    pub fn start(path: &Path, args: &[String], log: &Path) -> Process {
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(path);
        let child = command.args(args).stdout(log.try_clone().expect("a log file")).stderr(log);
        Process { child: child.spawn().expect("the program runs") }
    }

    /// The id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// When the process has been waited for.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal)
            .expect("the process is a child of the test");
    }

    /// Waits for the exit of the process.
    ///
    /// # Panics
    /// When the process cannot be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is a child of the test")
    }

    /// Whether the process has exited.
    ///
    /// # Panics
    /// When the process cannot be waited for.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of the test").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing a process that has already exited fails, which is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The path of a program that cargo built: the parent of the folder with the test programs.
///
/// # Panics
/// When the program is not built.
#[must_use]
pub fn binary(program: &str) -> PathBuf {
    let test = env::current_exe().expect("the path of the test program");
    let path = test.parent().and_then(Path::parent).expect("target/PROFILE").join(program);
    let remedy = "run `cargo build --workspace --all-targets` first";
    assert!(path.exists(), "{program} is not built: {remedy}");
    path
}
