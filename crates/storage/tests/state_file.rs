//! A small state beside the log survives a restart, and damage to it is detected.

use std::fs;

use consensus::StorageError;
use storage::StateFile;
use tempfile::TempDir;

#[test]
fn replaced_value() {
    let folder = TempDir::new().unwrap();
    let file = StateFile::new(folder.path(), "versions");
    assert_eq!(file.read::<Vec<u64>>(), Ok(None));
    file.write(&vec![1_u64, 2]).unwrap();
    file.write(&vec![3_u64]).unwrap();
    assert_eq!(StateFile::new(folder.path(), "versions").read(), Ok(Some(vec![3_u64])));
}

#[test]
fn damaged_value() {
    let folder = TempDir::new().unwrap();
    let file = StateFile::new(folder.path(), "versions");
    file.write(&vec![1_u64, 2]).unwrap();
    let path = folder.path().join("versions");
    let whole = fs::read(&path).unwrap();
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1;
        fs::write(&path, bytes).unwrap();
        assert!(file.read::<Vec<u64>>().is_err(), "byte {at} is not checked");
        fs::write(&path, &whole[..at]).unwrap();
        assert!(matches!(file.read::<Vec<u64>>(), Err(StorageError::Corrupt { .. })));
    }
}
