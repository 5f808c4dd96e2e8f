//! Measures the time to open a log and start a member from it, after a clean stop and a crash.

use std::{fs, path::Path, time::Instant};

use consensus::{
    Entry, LogIndex, Node, NodeId, Payload, Peer, Settings as NodeSettings, Storage, Term, Writes,
};
use storage::{LogFile, Settings};

use crate::COMMAND_BYTES;

const LOG_ENTRIES: [u64; 4] = [100, 1_000, 10_000, 100_000];
const ENTRIES_PER_WRITE: u64 = 100;
const LOG_FILE: &str = "log.redb";

pub(crate) fn measure() {
    for entries in LOG_ENTRIES {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let (clean, crashed) = (folder.path().join("clean"), folder.path().join("crashed"));
        let settings = Settings::default();
        storage::format(&clean, &settings).expect("an empty folder can be formatted");
        let mut log = LogFile::open(&clean, &settings).expect("a formatted folder opens");
        fill(&mut log, entries);
        // A copy of an open log file is what a killed process leaves behind.
        fs::create_dir(&crashed).expect("the folder is new");
        fs::copy(clean.join(LOG_FILE), crashed.join(LOG_FILE)).expect("the file can be copied");
        drop(log);
        println!(
            "recovery entries={entries} file_bytes={} clean_us={} crashed_us={}",
            fs::metadata(clean.join(LOG_FILE)).map_or(0, |it| it.len()),
            start_us(&clean),
            start_us(&crashed),
        );
    }
}

fn fill(log: &mut LogFile, entries: u64) {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; COMMAND_BYTES]),
    };
    for first in (1..=entries).step_by(ENTRIES_PER_WRITE as usize) {
        let append = (first..first + ENTRIES_PER_WRITE).map(entry).collect();
        log.save(&Writes { append, ..Writes::default() }).expect("the disk can be written");
    }
}

/// Opens the log, starts a member and returns the time in microseconds.
fn start_us(folder: &Path) -> u128 {
    let begin = Instant::now();
    let log = LogFile::open(folder, &Settings::default()).expect("the log opens");
    let peer = Peer { node: NodeId(1), disk: log.disk() };
    let recovered = log.load().expect("the log can be read");
    let node = Node::new(NodeSettings::default(), peer, recovered, Instant::now());
    let time = begin.elapsed().as_micros();
    drop(node);
    time
}
