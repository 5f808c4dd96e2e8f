//! Decisions about requests: admission, queueing, choice of backend server, retries, limits, health.
