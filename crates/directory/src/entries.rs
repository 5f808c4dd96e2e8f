//! Splits a JSON list into its entries before any of them is parsed.
//!
//! Entries may come from other writers and hold anything: bytes that are not text, words or numbers
//! that are not JSON, or brackets that do not match. Such an entry must cost no other one.

use std::ops::Range;

use serde::de::DeserializeOwned;

use crate::MalformedList;

/// A longer entry is not parsed.
const ENTRY_MAX_BYTES: usize = 64 * 1024;

/// How many places in one list are tried as the start of the next entry after one whose end cannot be
/// found.
const RESYNC_ATTEMPTS_MAX: usize = 1_000;

/// The entries of a list that could be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedList<'a, T> {
    /// The entries that could be parsed.
    pub entries: Vec<T>,
    /// The number of entries that could not be parsed.
    pub malformed_entries: usize,
    /// The other fields of the object that holds the list, as names and JSON texts.
    pub fields: Vec<(&'a [u8], &'a [u8])>,
}

/// Parses a JSON array of entries, each on its own.
///
/// # Errors
/// If the body is not an array, or ends before the array does.
pub fn parse_array<T: DeserializeOwned>(body: &[u8]) -> Result<ParsedList<'_, T>, MalformedList> {
    let mut list = ListParser::new(body);
    let start = list.expect_at(skip_space(body, 0), b'[')?;
    let end = list.parse_entries(start, |rest| skip_space(rest, 0) == rest.len())?;
    match skip_space(body, end) == body.len() {
        true => Ok(list.parsed),
        false => Err(malformed("text after the list", end)),
    }
}

/// Parses the entries of an array that is a field of a JSON object.
///
/// # Errors
/// If the body is not an object with this field, or ends before the object does.
pub fn parse_field<'a, T: DeserializeOwned>(
    body: &'a [u8],
    name: &str,
) -> Result<ParsedList<'a, T>, MalformedList> {
    let mut list = ListParser::new(body);
    let mut at = list.expect_at(skip_space(body, 0), b'{')?;
    let mut has_list = false;
    loop {
        let (key, value) = read_key(body, at)?;
        let end = if key == name.as_bytes() && !has_list {
            has_list = true;
            let start = list.expect_at(value, b'[')?;
            list.parse_entries(start, |rest| read_object_rest(rest).is_ok())?
        } else {
            let end = skip_value(body, value)?;
            list.parsed.fields.push((key, &body[value..end]));
            end
        };
        at = skip_space(body, end);
        match body.get(at) {
            Some(b',') => at += 1,
            Some(b'}') if skip_space(body, at + 1) == body.len() => break,
            _ => return Err(malformed("the object does not end", at)),
        }
    }
    match has_list {
        true => Ok(list.parsed),
        false => Err(MalformedList { reason: format!("the field {name} is missing") }),
    }
}

struct ListParser<'a, T> {
    body: &'a [u8],
    parsed: ParsedList<'a, T>,
    resync_attempts_left: usize,
}

impl<'a, T: DeserializeOwned> ListParser<'a, T> {
    fn new(body: &'a [u8]) -> Self {
        let parsed = ParsedList { entries: Vec::new(), malformed_entries: 0, fields: Vec::new() };
        ListParser { body, parsed, resync_attempts_left: RESYNC_ATTEMPTS_MAX }
    }

    fn expect_at(&self, at: usize, byte: u8) -> Result<usize, MalformedList> {
        match self.body.get(at) {
            Some(it) if *it == byte => Ok(at + 1),
            _ => Err(malformed(&format!("no {}", char::from(byte)), at)),
        }
    }

    /// Parses the entries from `at` on and returns the position after the end of the array. `is_end`
    /// tells whether a text may follow the array.
    fn parse_entries(
        &mut self,
        mut at: usize,
        is_end: impl Fn(&[u8]) -> bool,
    ) -> Result<usize, MalformedList> {
        at = skip_space(self.body, at);
        if self.body.get(at) == Some(&b']') {
            return Ok(at + 1);
        }
        loop {
            let entry_end = skip_value(self.body, at);
            let after = entry_end.as_ref().map(|end| skip_space(self.body, *end));
            match after.ok().and_then(|it| Some((it, self.body.get(it)?))) {
                Some((next, b',')) => {
                    self.add(at..next);
                    at = skip_space(self.body, next + 1);
                }
                Some((next, b']')) if is_end(&self.body[next + 1..]) => {
                    self.add(at..next);
                    return Ok(next + 1);
                }
                _ => {
                    self.parsed.malformed_entries += 1;
                    match self.find_next_entry(at) {
                        Some(next) => at = next,
                        None => return self.find_end(at, is_end),
                    }
                }
            }
        }
    }

    fn add(&mut self, range: Range<usize>) {
        match self.parse(range) {
            Some(entry) => self.parsed.entries.push(entry),
            None => self.parsed.malformed_entries += 1,
        }
    }

    fn parse(&self, range: Range<usize>) -> Option<T> {
        let text = self.body.get(range).filter(|it| it.len() <= ENTRY_MAX_BYTES)?;
        serde_json::from_str(std::str::from_utf8(text).ok()?).ok()
    }

    /// The start of the first entry that can be parsed after one whose end cannot be found.
    fn find_next_entry(&mut self, after: usize) -> Option<usize> {
        let mut at = after;
        while self.resync_attempts_left > 0 {
            let comma = at + self.body.get(at..)?.iter().position(|it| *it == b',')?;
            at = comma + 1;
            let start = skip_space(self.body, at);
            if self.body.get(start) != Some(&b'{') {
                continue;
            }
            self.resync_attempts_left -= 1;
            let window = &self.body[..self.body.len().min(start + ENTRY_MAX_BYTES)];
            if let Ok(end) = skip_value(window, start)
                && self.parse(start..end).is_some()
            {
                return Some(start);
            }
        }
        None
    }

    /// The position after the end of the array, if its last entry has no end of its own.
    fn find_end(
        &self,
        after: usize,
        is_end: impl Fn(&[u8]) -> bool,
    ) -> Result<usize, MalformedList> {
        let candidates = (after..self.body.len()).rev().filter(|it| self.body[*it] == b']');
        let end = candidates.take(RESYNC_ATTEMPTS_MAX).find(|it| is_end(&self.body[*it + 1..]));
        end.map(|it| it + 1).ok_or_else(|| malformed("the list does not end", after))
    }
}

/// Reads what follows a value of an object, up to the end of the text.
fn read_object_rest(rest: &[u8]) -> Result<(), MalformedList> {
    let mut at = skip_space(rest, 0);
    while rest.get(at) == Some(&b',') {
        let (_, value) = read_key(rest, at + 1)?;
        at = skip_space(rest, skip_value(rest, value)?);
    }
    match rest.get(at) {
        Some(b'}') if skip_space(rest, at + 1) == rest.len() => Ok(()),
        _ => Err(malformed("the object does not end", at)),
    }
}

/// Reads the name of a field and returns it with the position of the value.
fn read_key(body: &[u8], at: usize) -> Result<(&[u8], usize), MalformedList> {
    let start = skip_space(body, at);
    if body.get(start) != Some(&b'"') {
        return Err(malformed("no name of a field", start));
    }
    let end = skip_string(body, start)?;
    let colon = skip_space(body, end);
    match body.get(colon) {
        Some(b':') => Ok((&body[start + 1..end - 1], skip_space(body, colon + 1))),
        _ => Err(malformed("no colon after the name of a field", colon)),
    }
}

/// The position after a value, whatever it holds, as long as its brackets match and its texts end.
fn skip_value(body: &[u8], start: usize) -> Result<usize, MalformedList> {
    let mut closing = Vec::new();
    let mut at = start;
    while let Some(byte) = body.get(at) {
        match byte {
            b'"' => {
                at = skip_string(body, at)?;
                continue;
            }
            b'{' => closing.push(b'}'),
            b'[' => closing.push(b']'),
            b'}' | b']' | b',' if closing.is_empty() => return Ok(at),
            b'}' | b']' if closing.pop() != Some(*byte) => {
                return Err(malformed("a bracket does not match", at));
            }
            _ => {}
        }
        at += 1;
    }
    Err(malformed("a value does not end", start))
}

/// The position after a text in quotes.
fn skip_string(body: &[u8], start: usize) -> Result<usize, MalformedList> {
    let mut at = start + 1;
    while let Some(byte) = body.get(at) {
        match byte {
            b'"' => return Ok(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    Err(malformed("a text does not end", start))
}

fn skip_space(body: &[u8], at: usize) -> usize {
    let rest = body.get(at..).unwrap_or_default();
    at + rest.iter().take_while(|it| it.is_ascii_whitespace()).count()
}

fn malformed(what: &str, at: usize) -> MalformedList {
    MalformedList { reason: format!("{what} at byte {at}") }
}
