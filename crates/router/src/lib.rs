//! The entry VM's daemon: HTTP towards callers and backend servers.
//!
//! A request passes through stages of one job each: [`arrival`], [`identity`], [`routing`],
//! [`class_limits`], then a place at a backend server ([`dispatch`]) and its service. [`pipeline`]
//! connects them and [`daemon`] runs them. Decisions about queues, servers and retries are made by
//! the crate `policy`. [`relay`] passes requests on unchanged for callers and backend servers that
//! follow another [`dialect`], through the same stages. The tables and the order ledger come in through [`table_source`] and
//! [`order_ledger`].

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
pub mod identity;
pub mod load_reports;
pub mod metrics;
mod order_desk;
pub mod order_ledger;
pub mod outcome;
pub mod pipeline;
pub mod quarantine_exchange;
pub mod readiness;
mod refusals;
pub mod relay;
pub mod routing;
mod service_call;
pub mod services;
pub mod settings;
mod shared_work;
mod silence;
pub mod table_source;
mod token_stream;
