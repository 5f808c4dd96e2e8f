//! The fingerprint by which a request is recognized when its caller sends it again.

use derive_more::Display;
use xxhash_rust::xxh3::Xxh3;

use crate::identity::Caller;

/// Identifies a request by its caller, target and body.
///
/// Requests of different callers differ even if they ask for the same, since a request that crashes
/// servers must be neither cleared nor refused because of another caller's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{_0:016x}")]
pub(crate) struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    pub(crate) fn new(caller: &Caller, target: &str, body: &[u8]) -> Fingerprint {
        let caller = caller.workspace();
        let mut hasher = Xxh3::new();
        hasher.update(&[u8::from(caller.is_some())]);
        for part in [caller.map_or(&[][..], |it| it.as_bytes()), target.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest())
    }
}
