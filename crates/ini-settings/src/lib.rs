//! Reads INI text into typed values and lists every fault with line, name and remedy.
//!
//! The daemons' settings and the operators' tables go through this crate, so that a person who
//! made three mistakes is told of all three at once. The syntax itself is read by `rust-ini`.

mod document;
mod fault;
mod reader;

pub use document::{Document, Entry, Section};
pub use fault::{Fault, Faults};
pub use reader::SectionReader;
