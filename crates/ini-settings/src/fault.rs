//! Faults in a file, each with its location and a remedy.

use derive_more::{Display, Error};

/// One fault in a settings file or table.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{source_name}:{line}: {name}: {problem}; {remedy}")]
pub struct Fault {
    /// The name of the file, as given by the caller.
    pub source_name: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The section and key, such as `chat.deadline_ms`.
    pub name: String,
    /// The problem.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// The faults found in one or more files.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Error)]
#[display("{}", self.lines())]
pub struct Faults {
    list: Vec<Fault>,
    /// Names that this build does not know, which another build may, and advisory values that do not fit.
    unknown: Vec<Fault>,
}

impl Faults {
    /// Adds one fault.
    pub fn push(&mut self, fault: Fault) {
        self.list.push(fault);
    }

    /// Adds a name that is not known or an advisory value that does not fit, which alone does not make a file
    /// invalid.
    pub(crate) fn push_unknown(&mut self, unknown: Fault) {
        self.unknown.push(unknown);
    }

    /// The names that are not known and the advisory values that do not fit, but do not make a file invalid.
    pub fn unknown(&self) -> &[Fault] {
        &self.unknown
    }

    /// Adds all faults of `other`.
    pub fn extend(&mut self, other: Faults) {
        self.list.extend(other.list);
        self.unknown.extend(other.unknown);
    }

    /// Whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The faults in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// Returns all faults, also the unknown names, sorted by file and line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Faults> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.append(&mut self.unknown);
        self.list.sort_by(|a, b| (&a.source_name, a.line).cmp(&(&b.source_name, b.line)));
        Err(self)
    }

    fn lines(&self) -> String {
        self.list.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
    }
}
