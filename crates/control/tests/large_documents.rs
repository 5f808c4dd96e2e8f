//! Guards against large documents in quick succession that fill the disks and the memory of all
//! control VMs: the log was compacted after a number of entries, whatever their size.

mod support;

use control_state::{Command, Document, DocumentAnswer, Response};
use support::{Cluster, wait_until};

/// The users' smallest control VMs have 128 MB of disk and 256 MB of memory.
const DISK_MAX_BYTES: u64 = 128_000_000;
const MEMORY_MAX_BYTES: u64 = 256_000_000;
const DOCUMENT_BYTES: usize = 520 * 1024;
const CHANGES: u64 = 140;

fn put_large(cluster: &Cluster, version: u64) {
    let text = vec![b'a' + (version % 26) as u8; DOCUMENT_BYTES];
    let command = Command::PutDocument(Document { version, text });
    let answer = wait_until("an answer to the document", || cluster.submit(1, &command).ok());
    let accepted = DocumentAnswer::Accepted { version };
    let kept = DocumentAnswer::Kept { current: version };
    assert!([accepted, kept].map(Response::Document).contains(&answer), "got {answer:?}");
}

/// 140 documents, each of which takes 1 MiB of the log file.
#[test]
fn many_large() {
    let mut cluster = Cluster::start(1);
    for version in 1..=CHANGES {
        put_large(&cluster, version);
    }
    let disk_bytes = cluster.disk_bytes(1);
    assert!(disk_bytes < DISK_MAX_BYTES, "the log uses {disk_bytes} bytes of the disk");
    let memory_bytes = cluster.memory_peak_bytes(1);
    assert!(memory_bytes < MEMORY_MAX_BYTES, "the process used {memory_bytes} bytes of memory");
    // What was acknowledged is read back after a restart.
    cluster.kill(1);
    cluster.run(1);
    assert_eq!(cluster.confirmed_document(1).version, CHANGES);
}
