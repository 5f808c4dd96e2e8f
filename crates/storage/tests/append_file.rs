//! Values that were appended to a file survive a restart, and a write that a crash interrupted costs no earlier
//! one.

use std::fs;

use consensus::StorageError;
use storage::AppendFile;
use tempfile::TempDir;

const NAME: &str = "streams";

fn read(folder: &TempDir) -> Result<Vec<Vec<u64>>, StorageError> {
    AppendFile::new(folder.path(), NAME).read()
}

/// Writes three values; returns the length of the file after each.
fn write(folder: &TempDir) -> Vec<usize> {
    let path = folder.path().join(NAME);
    let mut appender = AppendFile::new(folder.path(), NAME).begin(&vec![1_u64]).unwrap();
    let mut lengths = vec![fs::read(&path).unwrap().len()];
    for value in [vec![2_u64, 3], Vec::new()] {
        appender.append(&value).unwrap();
        lengths.push(fs::read(&path).unwrap().len());
    }
    lengths
}

#[test]
fn appended_values() {
    let folder = TempDir::new().unwrap();
    assert_eq!(read(&folder), Ok(Vec::new()));
    write(&folder);
    assert_eq!(read(&folder), Ok(vec![vec![1], vec![2, 3], vec![]]));
}

#[test]
fn begun_anew() {
    let folder = TempDir::new().unwrap();
    write(&folder);
    AppendFile::new(folder.path(), NAME).begin(&vec![7_u64]).unwrap();
    assert_eq!(read(&folder), Ok(vec![vec![7]]));
}

/// Damages the file from each of its bytes behind the first value on, and checks that the values before are read.
fn check_damage(damage: impl Fn(&mut Vec<u8>, usize)) {
    let folder = TempDir::new().unwrap();
    let lengths = write(&folder);
    let path = folder.path().join(NAME);
    let whole = fs::read(&path).unwrap();
    let all = read(&folder).unwrap();
    for at in lengths[0]..whole.len() {
        let mut bytes = whole.clone();
        damage(&mut bytes, at);
        fs::write(&path, bytes).unwrap();
        let count = lengths.iter().filter(|it| **it <= at).count();
        assert_eq!(read(&folder).unwrap(), all[..count], "damaged from byte {at} on");
    }
}

#[test]
fn torn_write() {
    check_damage(|bytes, at| bytes.truncate(at));
}

#[test]
fn damaged_write() {
    check_damage(|bytes, at| bytes[at] ^= 1);
}

#[test]
fn later_format() {
    let folder = TempDir::new().unwrap();
    write(&folder);
    let path = folder.path().join(NAME);
    let mut bytes = fs::read(&path).unwrap();
    bytes[0] = 2;
    fs::write(&path, bytes).unwrap();
    assert!(matches!(read(&folder), Err(StorageError::LaterFormat { format: 2, .. })));
}
