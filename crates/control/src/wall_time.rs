//! The time of day, as it is written to files.

use std::time::UNIX_EPOCH;

use clock::Clock;

/// The milliseconds since the Unix epoch; 0 before it.
pub(crate) fn unix_ms(clock: &dyn Clock) -> u64 {
    clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
