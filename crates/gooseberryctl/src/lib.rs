//! The operators' command: apply, check, diff and show tables; status.
