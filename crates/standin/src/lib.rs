//! Test doubles for the systems that the router talks to, for tests, load runs and the demo.
//!
//! There are four services: a model engine, an order service whose calls must not be repeated, a
//! lookup service and the platform's list of VMs, which lags. They share their administrative paths
//! and fault injection. [`start`] runs one on a thread of its own, so that tests need no other
//! process; the binary runs one per process. Faults are set at the start or at run time through
//! `/faults`.

pub mod cli;
mod engine;
mod faults;
mod handler;
mod lagged;
mod lookup;
mod orders;
mod platform;
mod relay;
mod reply;
mod server;
pub mod settings;
mod stats;

pub use faults::{CutStyle, Faults, Framing};
pub use lagged::Lagged;
pub use platform::{VmEntry, VmState};
pub use server::{StandIn, run, start};
pub use settings::{
    EngineSettings, FrontKind, LookupSettings, OnCrash, OrderSettings, PlatformSettings,
    ServerSettings, ServiceSettings,
};
pub use stats::Stats;
