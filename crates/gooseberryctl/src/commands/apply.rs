//! `apply`: puts two files in force.
