//! The software versions that began streams are known to all hubs.

use std::time::{Duration, Instant};

use dissemination::{
    BegunStreams, Hub, HubSettings, MemberState, PoolHash, SoleVersion, StreamHash, StreamLog,
    Summary, decode_digest, encode_digest, encode_summary,
};
use policy::VersionHash;

const OLD: VersionHash = VersionHash(1);
const NEW: VersionHash = VersionHash(2);

fn stream(number: u64) -> StreamHash {
    StreamHash::of(&format!("{number:016x}"))
}

/// Guards against a stream that is taken up at a router of another hub, which does not know it.
#[test]
fn across_hubs() {
    let now = Instant::now();
    let mut hubs = [1, 2].map(|epoch| Hub::new(HubSettings { epoch, ..HubSettings::default() }));
    let begun_streams = BegunStreams::group([(stream(1), OLD), (stream(2), NEW)]);
    let told = Summary { begun_streams, ..MemberState::new("router-1").empty_summary() };
    hubs[0].exchange(now, told);
    let news = hubs[0].take_new_streams();
    hubs[1].record_streams(now, &news);
    assert_eq!(hubs[0].take_new_streams(), []);
    assert_eq!(hubs[1].take_new_streams(), [], "a hub does not pass on what another hub told");
    let stream_lookups = vec![stream(2), stream(3), stream(1)];
    let asking = Summary { stream_lookups, ..MemberState::new("router-2").empty_summary() };
    let found = hubs[1].exchange(now, asking).found_streams;
    assert_eq!(found, BegunStreams::group([(stream(1), OLD), (stream(2), NEW)]));
}

/// Guards against streams that are refused after a kill of all processes: no hub knows them, but the hub
/// knows that there has been one version only.
#[test]
fn sole_version_told() {
    let now = Instant::now();
    let mut hub = Hub::new(HubSettings::default());
    let sole = vec![SoleVersion { pool: PoolHash::of("svc"), version: NEW }];
    hub.set_sole_versions(sole.clone());
    let begun_streams = BegunStreams::group([(stream(1), OLD)]);
    hub.exchange(now, Summary { begun_streams, ..MemberState::new("router-1").empty_summary() });
    let mut ask = |stream_lookups| {
        let empty = MemberState::new("router-2").empty_summary();
        let digest = hub.exchange(now, Summary { stream_lookups, ..empty });
        decode_digest(&encode_digest(&digest)).expect("the digest is read").sole_versions
    };
    assert_eq!(ask(Vec::new()), []);
    assert_eq!(ask(vec![stream(1)]), []);
    assert_eq!(ask(vec![stream(1), stream(2)]), sole);
}

/// Guards against a log of streams that grows for good, and against a running stream that is forgotten
/// although it was reported again.
#[test]
fn streams_expire() {
    let start = Instant::now();
    let mut log = StreamLog::default();
    log.record(start, stream(1), OLD);
    log.record(start, stream(2), NEW);
    let renewed = start + StreamHash::TTL / 2;
    log.record(renewed, stream(1), OLD);
    let later = start + StreamHash::TTL;
    assert_eq!(log.version(later, stream(1)), Some(OLD));
    assert_eq!(log.version(later, stream(2)), None);
    let known = log.last_record();
    log.record(later, stream(3), NEW);
    assert_eq!(log.since(known), BegunStreams::group([(stream(3), NEW)]));
    assert_eq!(log.since(0), BegunStreams::group([(stream(1), OLD), (stream(3), NEW)]));
}

/// Guards against reports of streams that take more than what is left of a router's 2 KB/s, at the target of
/// 6,100 requests a second through 350 routers.
#[test]
fn bytes_of_streams() {
    const LEFT_BYTES_PER_S: usize = 158;
    const STREAMS_PER_S: u64 = 18;
    const EXCHANGES_PER_S: u64 = 2;
    let bare = MemberState::new("").empty_summary();
    let streams =
        (0..STREAMS_PER_S / EXCHANGES_PER_S).map(|it| (stream(it), [OLD, NEW][it as usize % 2]));
    let begun_streams = BegunStreams::group(streams);
    let told = Summary { begun_streams, ..bare.clone() };
    let bytes = encode_summary(&told).len() - encode_summary(&bare).len();
    let bytes_per_s = bytes * EXCHANGES_PER_S as usize;
    assert!(bytes_per_s <= LEFT_BYTES_PER_S, "{bytes_per_s} B/s");
}

/// Guards against hubs that take a stream for another one.
#[test]
fn hashes_differ() {
    let hashes: std::collections::BTreeSet<_> = (0..200_000).map(stream).collect();
    assert_eq!(hashes.len(), 200_000);
    assert!(StreamHash::TTL > Duration::from_secs(12), "longer than the callers of the users wait");
}
