//! A replicated log as a pure state machine: messages and time in, messages and writes out.
