//! The daemon on VMs with a disk: replicates the tables and order claims and serves them to routers.
//!
//! It is the rim around the pure crates `consensus` and `control-state`: sockets, the disk's
//! thread, timers. It never decides what a command means.

mod disk;
mod envelope;
mod machine;
mod peers;
mod replica;
mod settings;
mod watch;

pub use settings::Settings;
