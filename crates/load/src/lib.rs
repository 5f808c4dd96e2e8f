//! Open-loop load against routers, the experiments built on it, and their reports.
//!
//! The arrival plan, the answer checks, the report and the line fits are pure functions of their
//! input. Modules such as `caller`, `runner` and `proc_stat` use the network, timers or `/proc`.

pub mod answer_check;
pub mod caller;
pub mod capacity;
pub mod counters;
pub mod loopback;
pub mod overhead;
pub mod plan;
pub mod proc_stat;
pub mod record;
pub mod report;
pub mod runner;
pub mod standin_counts;
pub mod streams;
