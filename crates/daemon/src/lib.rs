//! What every daemon does at its rim: signals, health and metrics.
//!
//! The crate holds no logic of a daemon's own work.

mod admin;
pub mod signals;
mod watch;

pub use admin::{Admin, Health};
pub use watch::Watch;
