//! Logs, trace context and metrics for every daemon.
