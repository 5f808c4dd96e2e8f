//! Starts `gooseberry-router`; the library holds all of its logic.

fn main() {}
