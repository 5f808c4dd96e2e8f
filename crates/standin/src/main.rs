//! Starts `gooseberry-standin`; the library holds all of its logic.

fn main() {}
