//! Typed access to the keys of one section.

use std::{collections::BTreeSet, str::FromStr};

use crate::{Entry, Fault, Faults, Section};

/// Reads the keys of one section and records which keys are known.
///
/// The parameter `expected` of the methods describes valid values; it completes the remedy
/// "write …" for a value that does not parse.
#[derive(Debug)]
pub struct SectionReader<'a> {
    source_name: &'a str,
    section: &'a Section,
    faults: &'a mut Faults,
    known: BTreeSet<String>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(
        source_name: &'a str,
        section: &'a Section,
        faults: &'a mut Faults,
    ) -> SectionReader<'a> {
        SectionReader { source_name, section, faults, known: BTreeSet::new() }
    }

    /// Reads a required value; returns `T::default()` after a fault.
    pub fn required<T: FromStr + Default>(&mut self, key: &str, expected: &str) -> T {
        if let Some(value) = self.optional(key, expected) {
            return value;
        }
        if self.entry(key).is_none() {
            self.fault_at(self.section.line, key, "is missing", &format!("write {expected}"));
        }
        T::default()
    }

    /// Whether the key is set, to an empty value too.
    #[must_use]
    pub fn is_set(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Reads an optional value; returns `None` if it is absent or does not parse.
    pub fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        let entry = self.entry(key)?;
        let parsed = entry.value.trim().parse().ok();
        if parsed.is_none() {
            let problem = format!("`{}` does not fit", entry.value);
            self.fault_at(entry.line, key, &problem, &format!("write {expected}"));
        }
        parsed
    }

    /// Reads an optional value that a template leaves empty where there is none, which counts as absent.
    pub fn optional_if_filled<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        let is_filled = self.entry(key).is_some_and(|it| !it.value.trim().is_empty());
        is_filled.then(|| self.optional(key, expected)).flatten()
    }

    /// Reads an advisory value, whose default is safe: returns `default` if it is absent. One that does not
    /// parse, or is empty because a template had no value for it, is noted and counts as absent.
    pub fn advisory<T: FromStr>(&mut self, key: &str, expected: &str, default: T) -> T {
        self.known.insert(key.to_owned());
        let Some(entry) = self.entry(key) else { return default };
        if let Ok(value) = entry.value.trim().parse() {
            return value;
        }
        let problem = format!("`{}` does not fit, so the default is used", entry.value);
        let noted = self.to_fault(entry.line, key, &problem, &format!("write {expected}"));
        self.faults.push_unknown(noted);
        default
    }

    /// Reads an optional value; returns `default` if it is absent or does not parse.
    pub fn or_default<T: FromStr>(&mut self, key: &str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// Reads values separated by commas; an absent key gives an empty list.
    pub fn list<T: FromStr>(&mut self, key: &str, expected: &str) -> Vec<T> {
        self.known.insert(key.to_owned());
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let mut values = Vec::new();
        for item in entry.value.split(',').map(str::trim).filter(|it| !it.is_empty()) {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(_) => {
                    let problem = format!("`{item}` does not fit");
                    self.fault_at(entry.line, key, &problem, &format!("write {expected}"));
                }
            }
        }
        values
    }

    /// Adds a fault that the caller found in the value of `key`.
    pub fn fault(&mut self, key: &str, problem: &str, remedy: &str) {
        let line = self.entry(key).map_or(self.section.line, |it| it.line);
        self.fault_at(line, key, problem, remedy);
    }

    /// Finishes reading; each key that was not read is a fault.
    pub fn finish(self) {
        let unknown = self.unknown_keys();
        unknown.into_iter().for_each(|it| self.faults.push(it));
    }

    /// Finishes reading; keys that were not read are noted without a fault, since the file may also be
    /// read by another build.
    pub fn finish_tolerant(self) {
        let unknown = self.unknown_keys();
        unknown.into_iter().for_each(|it| self.faults.push_unknown(it));
    }

    fn unknown_keys(&self) -> Vec<Fault> {
        let unknown = self.section.entries.iter().filter(|it| !self.known.contains(&it.key));
        let fault = |it: &Entry| {
            self.to_fault(it.line, &it.key, "unknown key", &self.remedy_for_unknown(&it.key))
        };
        unknown.map(fault).collect()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|it| it.key == key)
    }

    fn fault_at(&mut self, line: usize, key: &str, problem: &str, remedy: &str) {
        let fault = self.to_fault(line, key, problem, remedy);
        self.faults.push(fault);
    }

    fn to_fault(&self, line: usize, key: &str, problem: &str, remedy: &str) -> Fault {
        Fault {
            source_name: self.source_name.to_owned(),
            line,
            name: format!("{}.{key}", self.section.name),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Suggests a known key that differs only in its unit, the most likely mistake, or else lists
    /// the known keys.
    fn remedy_for_unknown(&self, key: &str) -> String {
        let stem = stem(key);
        match self.known.iter().find(|it| self::stem(it) == stem) {
            Some(similar) => format!("write {similar}, in the unit that its name ends in"),
            None => {
                let known: Vec<_> = self.known.iter().map(String::as_str).collect();
                format!("use one of: {}", known.join(", "))
            }
        }
    }
}

/// The key without its unit, which is the part after the last underscore.
fn stem(key: &str) -> &str {
    key.rsplit_once('_').map_or(key, |(stem, _)| stem)
}
