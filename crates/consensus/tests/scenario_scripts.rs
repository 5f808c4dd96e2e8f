//! Runs the golden scripts, each of which shows one kind of fault, membership change or transfer.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/faults.rs"]
mod faults;
#[path = "support/history.rs"]
mod history;
#[path = "support/journal.rs"]
mod journal;
#[path = "support/script.rs"]
mod script;

use std::{fs, path::Path};

use script::Script;

#[test]
fn all_scripts() {
    let dir = Path::new("tests/scripts");
    let mut paths: Vec<_> = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    assert!(!paths.is_empty(), "no scripts in {}", dir.display());
    for path in paths {
        goldenscript::run(&mut Script::default(), &path).unwrap();
    }
}
