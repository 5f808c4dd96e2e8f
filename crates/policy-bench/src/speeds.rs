//! Servers of unlike speed with noise, as those of VMs that are shared with others.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOMINAL_PERMILLE: f64 = 1e3;
/// One in so many servers is slow all the time.
const SLOW_EVERY: usize = 10;
const SLOW_FACTOR: f64 = 2.2;
/// The other servers differ by up to this factor in both directions.
const LASTING_FACTOR_MAX: f64 = 1.3;
/// The noise differs by up to this factor in both directions, and is drawn anew for each moment.
const NOISE_FACTOR_MAX: f64 = 1.6;
const MOMENT: Duration = Duration::from_millis(200);
/// The part of the moments in which a server is far slower.
const PEAK_PART: f64 = 0.05;
const PEAK_FACTOR: f64 = 4.0;

/// How fast the servers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speeds {
    /// All as fast as the engine model.
    Alike,
    /// Unlike with noise, and the servers do not state it.
    Unlike,
    /// The same, and they state it with each first token.
    Stated,
}

/// How long a step of a server takes now, relative to the engine model.
pub(crate) fn slowdown_permille(seed: u64, server: usize, now: Duration) -> u64 {
    let moment = (now.as_millis() / MOMENT.as_millis()) as u64;
    let spread = |rng: &mut ChaCha8Rng, max: f64| max.powf(rng.random_range(-1.0..1.0));
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (server as u64) << 40);
    let lasting = match server.is_multiple_of(SLOW_EVERY) {
        true => SLOW_FACTOR,
        false => spread(&mut rng, LASTING_FACTOR_MAX),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (server as u64) << 40 ^ (moment + 1));
    let noise = spread(&mut rng, NOISE_FACTOR_MAX);
    let peak = if rng.random_bool(PEAK_PART) { PEAK_FACTOR } else { 1.0 };
    (NOMINAL_PERMILLE * lasting * noise * peak) as u64
}
