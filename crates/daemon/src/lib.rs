//! Infrastructure that all daemons share: process signals, health checks and metrics.
//!
//! The crate contains no logic that is specific to one daemon.

mod admin;
pub mod signals;
mod watch;

pub use admin::{Admin, Health};
pub use watch::Watch;
