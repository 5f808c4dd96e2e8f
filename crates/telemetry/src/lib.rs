//! Logs, trace context and metrics for every daemon.
//!
//! A daemon calls [`init_logs`] once, passes a [`prometheus::Registry`] to its components and
//! serves [`render_metrics`] on its admin listener. Secrets are stored as [`Secret`], which is
//! never printed.

mod containment;
mod logs;
mod metrics;
mod panics;
mod secret;
mod throttle;
mod trace_context;

pub use containment::{FailStop, TaskPanicked, contain, contained_panics};
pub use logs::{LogGuard, LogOutput, LogSettings, init_logs};
pub use metrics::{register_gauge, register_process_metrics, render_metrics};
pub use panics::log_panics;
pub use secret::Secret;
pub use throttle::{Throttle, is_logged_attempt};
pub use trace_context::{SpanId, TraceContext, TraceContextError, TraceId};
