//! Guards against a process whose log does not say that, and where, a thread panicked. The test is
//! alone in its file, since the hook serves the whole process.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
};

/// The lines that were written, for the test to read.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a panic, in a thread other than the main one too, that leaves no line in the log.
#[test]
fn panic_in_thread() {
    let lines = Lines::default();
    let writer = lines.clone();
    tracing_subscriber::fmt().with_writer(move || writer.clone()).with_ansi(false).init();
    telemetry::log_panics();
    let worker = thread::Builder::new().name("disk".to_owned());
    let panicking = worker.spawn(|| panic!("no entry {}", 7)).expect("a thread");
    assert!(panicking.join().is_err());

    let written = lines.0.lock().expect("no writer panics").clone();
    let written = String::from_utf8(written).expect("the log is text");
    let [line] = written.lines().collect::<Vec<_>>()[..] else { panic!("one line: {written}") };
    let location = concat!("location=\"", file!(), ":");
    for part in ["ERROR", "event=\"panic\"", "thread=\"disk\"", "no entry 7", location] {
        assert!(line.contains(part), "no {part} in {line}");
    }
}
