//! The router daemon of an entry VM: serves callers over HTTP and forwards their requests to
//! backend servers.
//!
//! A request passes through these stages: [`arrival`], [`identity`], [`routing`],
//! [`class_limits`], then the assignment of a backend server ([`dispatch`]) and the attempts there.
//! [`pipeline`] connects the stages and [`daemon`] runs them. The crate `policy` decides about
//! queues, servers and retries. [`relay`] forwards requests unchanged, through the same stages, for
//! callers and backend servers that follow another [`dialect`]. [`table_source`] and
//! [`order_ledger`] are the interfaces of the tables and of the order ledger.

mod access_log;
pub mod arrival;
pub mod backends;
mod call;
pub mod chat;
mod chat_call;
pub mod class_limits;
pub mod control;
pub mod daemon;
mod deadline;
pub mod dialect;
mod directory_watch;
pub mod dispatch;
pub mod domain;
mod engine_stream;
pub mod engine_urgency;
mod fields;
mod fingerprint;
mod forwarding;
pub mod identity;
pub mod load_reports;
mod memory;
pub mod metrics;
mod order_call;
pub mod order_ledger;
pub mod outcome;
pub mod pipeline;
pub mod quarantine_exchange;
mod quarantine_report;
pub mod readiness;
mod refusals;
pub mod relay;
pub mod routing;
mod sent_state;
mod service_call;
pub mod services;
pub mod settings;
mod shared_work;
mod silence;
pub mod stop_deadline;
mod stream_origins;
pub mod table_source;
mod token_stream;
mod usage;
