//! Starts `gooseberry-control`; the library holds all of its logic.

fn main() {}
