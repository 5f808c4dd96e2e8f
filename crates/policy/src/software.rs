//! Software versions of servers, within which a stream that has begun must stay.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The software version of some servers of a pool: a hash of the pool's name and the version. What
/// different versions write in a stream does not fit together.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct VersionHash(pub u32);

impl VersionHash {
    /// The hash of a version of a pool's servers.
    #[must_use]
    pub fn of(pool: &str, version: &str) -> VersionHash {
        VersionHash(xxh3_64(format!("{pool}\0{version}").as_bytes()) as u32)
    }
}
