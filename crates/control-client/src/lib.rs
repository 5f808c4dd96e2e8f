//! The client side of the control VMs for routers and tools: tables, commands and shared state.
//!
//! The crate uses `rpc` links and implements the rules by which a process without a disk accepts
//! tables: a revision never decreases, and a start prefers tables that the leader confirmed.

mod commands;
mod document_watch;
mod domain;
mod first_tables;
mod nearest;
mod tables_watch;

pub use commands::{CommandError, submit};
pub use document_watch::DocumentWatch;
pub use domain::{Domain, DomainMember};
pub use first_tables::{FirstTables, Freshness};
pub use nearest::{NearestControl, choose};
pub use tables_watch::{TablesWatch, WatchSettings};
