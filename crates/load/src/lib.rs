//! Open-loop load against routers, the experiments built on it, and their reports.
//!
//! The plan of arrivals, the checks of answers, the report and the line fits are plain data in and
//! data out. Only `client`, `runner` and `proc_stat` touch the network or the system.

pub mod answer_check;
pub mod caller;
pub mod capacity;
pub mod counters;
pub mod evidence;
pub mod loopback;
pub mod overhead;
pub mod plan;
pub mod proc_stat;
pub mod record;
pub mod report;
pub mod runner;
pub mod streams;
