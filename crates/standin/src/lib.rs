//! Stand-ins of the systems that the router serves, for tests, load runs and the demo.
//!
//! Four services share one frame: a model engine, an order service whose calls must not be
//! repeated, a lookup service and the platform's lagging list of VMs. [`start`] runs one on a
//! thread of its own, so that tests need no other process; the binary runs one a process. Faults
//! are set at the start or at run time through `/faults`.

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
