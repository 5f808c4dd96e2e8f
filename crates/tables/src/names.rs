//! Small keys into the tables.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// The number of an accepted state of the tables; it only rises.
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

/// The place of a route in [`crate::Tables::routes`]; valid for one revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteIdx(pub u32);

/// The place of a pool in [`crate::Tables::pools`]; valid for one revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PoolIdx(pub u32);
