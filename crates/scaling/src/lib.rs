//! How many backend servers a pool needs in each failure domain, and of which kind.
//!
//! A pure decision: the [`Planner`] of a pool gets what is known of its servers and its demand, and returns the
//! numbers to order. The [`OrderBook`] decides which of them have to be sent, and when. The crate does no I/O
//! and reads no clock.

mod demand;
mod domain;
mod order_book;
mod planner;
mod spread;
mod types;

pub use order_book::{DueOrder, OrderBook};
pub use planner::{Figures, Planner};
pub use types::{Demand, DomainServers, Observation, ScalingSpec, Target};
