//! Starts `gooseberryctl`; the library holds all of its logic.

fn main() {}
