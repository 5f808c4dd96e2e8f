//! The failures that test programs report, kept to be printed again behind the output of all of them.

use std::io::{self, BufRead, Write};

/// The line that begins a test program's report of its failed tests and of what they printed.
const REPORT_START: &str = "failures:";

/// What the line starts with that ends the report.
const REPORT_END: &str = "test result:";

/// The lines in which test programs reported failed tests.
#[derive(Debug, Default)]
pub(crate) struct FailureReport {
    lines: Vec<String>,
}

impl FailureReport {
    /// Passes the output of test programs on to `target`, and keeps what it tells of failed tests.
    pub(crate) fn collect(
        &mut self,
        mut source: impl BufRead,
        mut target: impl Write,
    ) -> io::Result<()> {
        let mut is_inside = false;
        let mut line = Vec::new();
        while source.read_until(b'\n', &mut line)? > 0 {
            target.write_all(&line)?;
            let text = String::from_utf8_lossy(&line);
            is_inside |= text.trim_end() == REPORT_START;
            if is_inside {
                self.lines.push(text.trim_end().to_owned());
            }
            is_inside &= !text.starts_with(REPORT_END);
            line.clear();
        }
        Ok(())
    }

    pub(crate) fn print(&self) {
        for line in &self.lines {
            println!("{line}");
        }
    }
}
