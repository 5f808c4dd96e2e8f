//! Runs the golden scripts, in which operators and routers send commands to a cluster with faults.

#[path = "../../consensus/tests/support/cluster.rs"]
mod cluster;
#[path = "../../consensus/tests/support/faults.rs"]
mod faults;
#[path = "../../consensus/tests/support/history.rs"]
mod history;
#[path = "support/machine.rs"]
mod machine;
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
