//! The entry VM's daemon: HTTP towards callers and backend servers.
