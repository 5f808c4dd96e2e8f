//! The program finishes open streams at a signal, and exits at once with its crash code in a crash.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use support::{Caller, Reply, assert_answer, long_prompt, send_chat, set_faults};

const CRASH_EXIT_CODE: i32 = 101;

/// A running program; it is killed on drop, so that a failed test leaves none behind.
struct Program {
    child: Child,
    addr: SocketAddr,
}

impl Program {
    fn start(set: &[&str]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberry-standin"));
        command.args(["engine", "--listen", "127.0.0.1:0"]);
        for setting in set {
            command.args(["--set", setting]);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut lines = log.lines().map_while(Result::ok);
        let line =
            lines.find(|it| it.contains("event=listening")).expect("a log line of the listener");
        // Drains the log, so that a full pipe does not block the program.
        std::thread::spawn(move || lines.for_each(drop));
        let addr = line.split("addr=").nth(1).and_then(|it| it.split(' ').next());
        let addr = addr.and_then(|it| it.trim_matches('"').parse().ok()).expect("an address");
        Program { child, addr }
    }

    fn terminate(&self) {
        let status = Command::new("kill").arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success());
    }

    fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("an exit status").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn signal_finishes_stream() {
    let mut program = Program::start(&["engine.time_scale_permille=100"]);
    let prompt = long_prompt();
    let mut caller = Caller::connect(program.addr);
    send_chat(&mut caller, "r1", &prompt, true);
    let head = caller.read_head().expect("the head of the stream");
    program.terminate();
    let mut reply = Reply { status: 200, head, body: String::new(), is_complete: false };
    while caller.read_chunk(&mut reply) {}
    assert!(reply.is_done());
    assert_answer(&prompt, &reply.streamed_text());
    assert_eq!(program.exit_code(), Some(0));
}

#[test]
fn crash_exits() {
    let mut program = Program::start(&["engine.time_scale_permille=10"]);
    set_faults(program.addr, serde_json::json!({ "crash_marker": "poison" }));
    let mut caller = Caller::connect(program.addr);
    send_chat(&mut caller, "r1", "a poison pill", true);
    // The head of the stream may have been sent before the request ran.
    assert!(caller.receive().is_none_or(|it| !it.is_done()));
    assert_eq!(program.exit_code(), Some(CRASH_EXIT_CODE));
}
