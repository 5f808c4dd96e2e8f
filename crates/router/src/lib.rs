//! The entry VM's daemon: HTTP towards callers and backend servers.

pub mod order_ledger;
pub mod table_source;
