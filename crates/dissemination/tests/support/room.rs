//! A server with a few places that fails if it has to reject too many requests in a second.
#![allow(dead_code, unreachable_pub)]

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WORK_MS: std::ops::Range<u64> = 100..300;
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
const REJECTION_SPAN_MS: u64 = 1_000;

/// What becomes of a request that reaches the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Answered {
        at_ms: u64,
    },
    Rejected,
    /// The server is down.
    Unreachable,
}

#[derive(Debug)]
pub struct Room {
    places: usize,
    /// The requests that may wait for a place.
    waiting_max: usize,
    /// The rejections in a second that the server survives.
    pub rejections_max: usize,
    /// When the requests inside end, sorted.
    ends_ms: Vec<u64>,
    rejected_ms: VecDeque<u64>,
    down_until_ms: u64,
    /// When the server failed.
    pub failed_ms: Vec<u64>,
    rng: ChaCha8Rng,
}

impl Room {
    pub fn new(seed: u64, places: usize, waiting_max: usize, rejections_max: usize) -> Room {
        Room {
            places,
            waiting_max,
            rejections_max,
            ends_ms: Vec::new(),
            rejected_ms: VecDeque::new(),
            down_until_ms: 0,
            failed_ms: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes how many requests may wait for a place.
    pub fn set_waiting_max(&mut self, waiting_max: usize) {
        self.waiting_max = waiting_max;
    }

    pub fn is_up(&self, now_ms: u64) -> bool {
        now_ms >= self.down_until_ms
    }

    pub fn admit(&mut self, now_ms: u64) -> Admission {
        if !self.is_up(now_ms) {
            return Admission::Unreachable;
        }
        self.ends_ms.retain(|it| *it > now_ms);
        let inside = self.ends_ms.len();
        if inside >= self.places + self.waiting_max {
            self.reject(now_ms);
            return Admission::Rejected;
        }
        let ahead = (inside + 1).checked_sub(self.places + 1);
        let start_ms = ahead.map_or(now_ms, |it| self.ends_ms[it]);
        let at_ms = start_ms + self.rng.random_range(WORK_MS);
        let place = self.ends_ms.partition_point(|it| *it <= at_ms);
        self.ends_ms.insert(place, at_ms);
        Admission::Answered { at_ms }
    }

    fn reject(&mut self, now_ms: u64) {
        self.rejected_ms.push_back(now_ms);
        while self.rejected_ms.front().is_some_and(|it| it + REJECTION_SPAN_MS <= now_ms) {
            self.rejected_ms.pop_front();
        }
        if self.rejected_ms.len() > self.rejections_max {
            self.failed_ms.push(now_ms);
            self.down_until_ms = now_ms + self.rng.random_range(DOWN_MS);
            self.ends_ms.clear();
            self.rejected_ms.clear();
        }
    }
}
