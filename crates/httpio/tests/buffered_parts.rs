//! Guards against a process that runs out of memory because the begun chunks and events of many answers are
//! buffered without a bound on all of them together.

mod support;

use futures::FutureExt;
use httpio::{
    HeldEvents, Limits,
    budget::{BudgetSize, ByteBudget},
    client::Connection,
};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use proptest::prelude::*;

const KIB: usize = 1 << 10;
const CHUNK_BYTES: usize = 256 * KIB;
const EVENT_BYTES_MAX: usize = 256 * KIB;
const PIECE_BYTES: usize = 4 * KIB;
const SIZE: BudgetSize = BudgetSize { bytes_max: 512 * KIB, small_bytes: 64 * KIB };

/// A chunk is passed on as it comes: its server is silent after the first half.
#[test]
fn begun_chunk() {
    support::run(async {
        let (listener, addr) = support::listen();
        let sent = CHUNK_BYTES / 2;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut bytes = format!("{head}{CHUNK_BYTES:x}\r\n").into_bytes();
        bytes.extend(vec![b'a'; sent]);
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(Vec::with_capacity(KIB)).await;
            stream.write_all(bytes).await.0.expect("the bytes are written");
            futures::future::pending::<()>().await;
        });
        let connection = Connection::open(addr, Limits::default()).await.expect("it listens");
        let response = connection.send(support::get("/")).await.expect("a head");
        let (mut body, mut received) = (response.body, 0);
        while received < sent {
            let piece = body.next().await.expect("the body goes on").expect("a piece");
            assert!(piece.len() <= PIECE_BYTES, "{} bytes were buffered", piece.len());
            received += piece.len();
        }
    });
}

/// Pushes bytes in pieces, as far as there is room for them; returns how many were pushed.
fn push(events: &mut HeldEvents, bytes: &[u8]) -> usize {
    let mut pushed = 0;
    for piece in bytes.chunks(PIECE_BYTES) {
        if events.reserve().now_or_never().is_none() {
            break;
        }
        events.push(piece);
        pushed += piece.len();
    }
    pushed
}

fn event(bytes: usize) -> Vec<u8> {
    format!("data: {}\n\n", "a".repeat(bytes - "data: \n\n".len())).into_bytes()
}

/// The incomplete events of all streams together are within the budget, but for the one that may exceed it.
#[test]
fn begun_events() {
    let memory = ByteBudget::new(SIZE);
    let begun = event(200 * KIB);
    let mut streams: Vec<_> = (0..20).map(|_| HeldEvents::new(&memory, EVENT_BYTES_MAX)).collect();
    let pushed: usize = streams.iter_mut().map(|it| push(it, &begun[..150 * KIB])).sum();
    assert!(pushed <= SIZE.bytes_max + EVENT_BYTES_MAX, "{pushed} bytes are buffered");
    assert!(pushed <= memory.usage().held_bytes + streams.len() * 2 * PIECE_BYTES);
    drop(streams);
    assert_eq!(memory.usage().held_bytes, 0);
}

/// A complete event keeps its charge until its reader has dropped it, and its stream goes on without one.
#[test]
fn complete_event() {
    let memory = ByteBudget::new(SIZE);
    let mut events = HeldEvents::new(&memory, EVENT_BYTES_MAX);
    let whole = event(200 * KIB);
    assert_eq!(push(&mut events, &whole), whole.len());
    let taken = events.next_event().expect("it is small enough").expect("it is complete");
    assert_eq!(taken, whole);
    assert!(memory.usage().held_bytes >= whole.len());
    assert_eq!(push(&mut events, &event(KIB)), KIB);
    assert!(memory.usage().held_bytes < 2 * CHUNK_BYTES);
    drop(taken);
    assert_eq!(memory.usage().held_bytes, 0, "a small event is not charged");
    assert_eq!(events.next_event(), Ok(Some(event(KIB).into())));
}

/// Streams that wait for room go on, one after the other.
#[test]
fn waiting_streams() {
    support::run(async {
        let memory = ByteBudget::new(SIZE);
        let whole = event(200 * KIB);
        let read = async |_| {
            let mut events = HeldEvents::new(&memory, EVENT_BYTES_MAX);
            for piece in whole.chunks(PIECE_BYTES) {
                events.reserve().await;
                events.push(piece);
            }
            events.next_event().expect("it is small enough").expect("it is complete").len()
        };
        let lengths = futures::future::join_all((0..20).map(read)).await;
        assert_eq!(lengths, vec![whole.len(); 20]);
        assert_eq!(memory.usage().held_bytes, 0);
    });
}

proptest! {
    /// Events come out as they went in, however large they are and however they are cut.
    #[test]
    fn any_events(
        sizes in prop::collection::vec(8..3 * PIECE_BYTES, 1..12),
        piece_bytes in 1..=PIECE_BYTES,
    ) {
        let memory = ByteBudget::default();
        let mut events = HeldEvents::new(&memory, EVENT_BYTES_MAX);
        let all: Vec<_> = sizes.iter().map(|it| event(*it)).collect();
        let mut found = Vec::new();
        for piece in all.concat().chunks(piece_bytes) {
            events.reserve().now_or_never().expect("there is room");
            events.push(piece);
            while let Some(event) = events.next_event().expect("all are small enough") {
                found.push(event.to_vec());
            }
        }
        prop_assert!(!events.has_partial_event());
        prop_assert_eq!(found, all);
        // The empty buffer of a stream whose events are small.
        prop_assert!(memory.usage().held_bytes <= 4 * PIECE_BYTES);
        drop(events);
        prop_assert_eq!(memory.usage().held_bytes, 0);
    }
}
