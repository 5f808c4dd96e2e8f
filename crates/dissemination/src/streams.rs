//! The software versions that began the streams of the last time, which a caller may take up at any
//! router.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use policy::VersionHash;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The largest number of streams that a hub knows; beyond it, the oldest is forgotten.
const STREAMS_MAX: usize = 500_000;
const HASH_BYTES: usize = 6;

/// A hash of the ID of the request that began a stream.
///
/// 48 bits are enough: with the streams of 30 s at 6,100 a second, one lookup in a billion finds
/// another stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamHash([u8; HASH_BYTES]);

impl StreamHash {
    /// Time for which the beginning of a stream is known. A stream that lasts longer is reported again.
    pub const TTL: Duration = Duration::from_secs(30);

    /// The hash of the ID of a request.
    pub fn of(request_id: &str) -> StreamHash {
        let [a, b, c, d, e, f, ..] = xxh3_64(request_id.as_bytes()).to_le_bytes();
        StreamHash([a, b, c, d, e, f])
    }
}

/// Streams that servers of one version began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BegunStreams {
    /// The version.
    pub version: VersionHash,
    /// The streams.
    pub streams: Vec<StreamHash>,
}

impl BegunStreams {
    /// Groups streams by their version.
    pub fn group(
        streams: impl IntoIterator<Item = (StreamHash, VersionHash)>,
    ) -> Vec<BegunStreams> {
        let mut groups: BTreeMap<VersionHash, Vec<StreamHash>> = BTreeMap::new();
        for (stream, version) in streams {
            groups.entry(version).or_default().push(stream);
        }
        let groups = groups.into_iter();
        groups.map(|(version, streams)| BegunStreams { version, streams }).collect()
    }
}

/// The streams known to a hub or a router, for [`StreamHash::TTL`].
#[derive(Debug, Default)]
pub struct StreamLog {
    streams: BTreeMap<StreamHash, Begun>,
    /// The streams in the order of their records, with the number of each record.
    order: VecDeque<(StreamHash, u64)>,
    last_record: u64,
}

#[derive(Debug, Clone, Copy)]
struct Begun {
    version: VersionHash,
    recorded_at: Instant,
    record: u64,
}

impl StreamLog {
    /// Records that a server of `version` began the stream.
    pub fn record(&mut self, now: Instant, stream: StreamHash, version: VersionHash) {
        self.last_record += 1;
        let record = self.last_record;
        self.streams.insert(stream, Begun { version, recorded_at: now, record });
        self.order.push_back((stream, record));
        self.forget_old(now);
    }

    /// The version that began the stream, if it is known.
    pub fn version(&self, now: Instant, stream: StreamHash) -> Option<VersionHash> {
        let begun = self.streams.get(&stream)?;
        (now < begun.recorded_at + StreamHash::TTL).then_some(begun.version)
    }

    /// The number of the last record.
    pub fn last_record(&self) -> u64 {
        self.last_record
    }

    /// The streams that were recorded after the record `known`.
    pub fn since(&self, known: u64) -> Vec<BegunStreams> {
        let newest = self.order.iter().rev().take_while(|(_, record)| *record > known);
        let current = newest.filter_map(|(stream, record)| {
            let begun = self.streams.get(stream).filter(|it| it.record == *record)?;
            Some((*stream, begun.version))
        });
        BegunStreams::group(current)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((stream, record)) = self.order.front().copied() {
            let begun = self.streams.get(&stream).filter(|it| it.record == record);
            let is_old = begun.is_none_or(|it| now >= it.recorded_at + StreamHash::TTL);
            if !is_old && self.streams.len() <= STREAMS_MAX {
                return;
            }
            self.order.pop_front();
            if begun.is_some() {
                self.streams.remove(&stream);
            }
        }
    }
}
