//! Revisions of the tables and indexes into them.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// The number of an accepted version of the tables; it only increases.
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
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The index of a route in [`crate::Tables::routes`]; valid for one revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteIdx(pub u32);

/// The index of a pool in [`crate::Tables::pools`]; valid for one revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PoolIdx(pub u32);
