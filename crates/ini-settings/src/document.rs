//! Parsed INI text with the line of each section and key.

use std::collections::BTreeSet;

use ini::{Ini, ParseOption};

use crate::{Fault, Faults, SectionReader};

/// One INI file.
#[derive(Debug, Clone)]
pub struct Document {
    source_name: String,
    sections: Vec<Section>,
}

/// One section with its entries in the order of the file.
#[derive(Debug, Clone)]
pub struct Section {
    /// The name between the brackets; empty for entries before the first section.
    pub name: String,
    /// The line of the brackets, counted from 1.
    pub line: usize,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// One line of the form `key = value`.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, without surrounding blanks.
    pub value: String,
    /// The line, counted from 1.
    pub line: usize,
}

impl Document {
    /// Parses `text`; `source_name` names the file in faults.
    ///
    /// # Errors
    ///
    /// Returns a fault for invalid syntax, or one for each duplicate section or key.
    pub fn parse(source_name: &str, text: &str) -> Result<Document, Faults> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|err| syntax_fault(source_name, err.line + 1, &err.msg))?;
        let sections = located_sections(&ini, text);
        let document = Document { source_name: source_name.to_owned(), sections };
        document.duplicates().into_result(document)
    }

    /// The sections in the order of the file.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Starts reading `section`; [`SectionReader::finish`] reports unknown keys.
    pub fn read<'a>(&'a self, section: &'a Section, faults: &'a mut Faults) -> SectionReader<'a> {
        SectionReader::new(&self.source_name, section, faults)
    }

    /// Adds a fault for each section whose name is not in `known`.
    pub fn check_section_names(&self, known: &[&str], faults: &mut Faults) {
        self.unknown_sections(known).for_each(|it| faults.push(it));
    }

    /// Notes each section whose name is not in `known`, without a fault.
    pub fn note_section_names(&self, known: &[&str], faults: &mut Faults) {
        self.unknown_sections(known).for_each(|it| faults.push_unknown(it));
    }

    fn unknown_sections(&self, known: &[&str]) -> impl Iterator<Item = Fault> {
        let remedy = format!("use one of: {}", known.join(", "));
        let unknown = self.sections.iter().filter(|it| !known.contains(&it.name.as_str()));
        unknown.map(move |section| Fault {
            source_name: self.source_name.clone(),
            line: section.line,
            name: section.name.clone(),
            problem: "unknown section".to_owned(),
            remedy: remedy.clone(),
        })
    }

    /// The section `name`, or an empty one, so that its required keys are reported as missing.
    pub fn section_or_empty(&self, name: &str) -> Section {
        let found = self.sections.iter().find(|it| it.name == name).cloned();
        found.unwrap_or_else(|| Section { name: name.to_owned(), line: 1, entries: Vec::new() })
    }

    fn duplicates(&self) -> Faults {
        let mut faults = Faults::default();
        let mut names = BTreeSet::new();
        for section in &self.sections {
            if !names.insert(&section.name) {
                faults.push(self.duplicate(section.line, section.name.clone()));
            }
            let mut keys = BTreeSet::new();
            let duplicates = section.entries.iter().filter(|it| !keys.insert(&it.key));
            for entry in duplicates {
                faults.push(self.duplicate(entry.line, format!("{}.{}", section.name, entry.key)));
            }
        }
        faults
    }

    fn duplicate(&self, line: usize, name: String) -> Fault {
        Fault {
            source_name: self.source_name.clone(),
            line,
            name,
            problem: "stands twice".to_owned(),
            remedy: "keep one of them".to_owned(),
        }
    }
}

fn syntax_fault(source_name: &str, line: usize, msg: &str) -> Faults {
    let mut faults = Faults::default();
    faults.push(Fault {
        source_name: source_name.to_owned(),
        line,
        name: "syntax".to_owned(),
        problem: msg.to_owned(),
        remedy: "write [section] or key = value".to_owned(),
    });
    faults
}

/// Adds the line numbers, which `rust-ini` does not report, by scanning the text in the same order.
fn located_sections(ini: &Ini, text: &str) -> Vec<Section> {
    let mut lines = Lines::new(text);
    let mut sections = Vec::new();
    for (name, properties) in ini.iter() {
        if name.is_none() && properties.is_empty() {
            continue;
        }
        let line = name.map_or(1, |_| lines.next_where(|it| it.starts_with('[')));
        let entries = properties
            .iter()
            .map(|(key, value)| Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line: lines.next_where(|it| it.starts_with(key)),
            })
            .collect();
        sections.push(Section { name: name.unwrap_or_default().to_owned(), line, entries });
    }
    sections
}

/// Finds lines in the order of the text; `last` is the line of the previous match.
struct Lines<'a> {
    rest: std::iter::Enumerate<std::str::Lines<'a>>,
    last: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        Lines { rest: text.lines().enumerate(), last: 1 }
    }

    fn next_where(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        if let Some((idx, _)) = self.rest.find(|(_, line)| matches(line.trim_start())) {
            self.last = idx + 1;
        }
        self.last
    }
}
