//! Reads INI text into typed values and reports every fault with line, name and remedy.
//!
//! The settings of the daemons and the tables of the operators are read with this crate, which
//! collects all faults of a file instead of stopping at the first. `rust-ini` parses the syntax.

mod document;
mod fault;
mod reader;

pub use document::{Document, Entry, Section};
pub use fault::{Fault, Faults};
pub use reader::SectionReader;
