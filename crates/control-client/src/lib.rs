//! What a router or a tool keeps of the control VMs: tables, commands, shared state.
//!
//! The crate sits on `rpc` links and knows the rules by which a process without a disk takes
//! tables over: a revision never falls, and a start prefers tables that the leader confirmed.

mod commands;
mod document_watch;
mod domain;
mod first_tables;
mod tables_watch;

pub use commands::{CommandError, submit};
pub use document_watch::DocumentWatch;
pub use domain::{Domain, DomainMember};
pub use first_tables::{FirstTables, Freshness};
pub use tables_watch::{TablesWatch, WatchSettings};
