//! Starts `gooseberry-load`; the library holds all of its logic.

fn main() {}
