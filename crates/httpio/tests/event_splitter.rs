//! The splitter yields complete events, however the stream is divided into chunks.

use expect_test::expect;
use httpio::sse::{self, Splitter};
use proptest::prelude::*;

fn events(chunks: &[&[u8]], limit_bytes: usize) -> Vec<String> {
    let mut splitter = Splitter::new(limit_bytes);
    let mut all = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => all.push(String::from_utf8_lossy(&event).into_owned()),
                Ok(None) => break,
                Err(error) => return vec![error.to_string()],
            }
        }
    }
    all
}

#[test]
fn several_events_per_chunk() {
    expect![[r#"
        [
            "data: a\n\n",
            "event: error\r\ndata: b\r\n\r\n",
        ]
    "#]]
    .assert_debug_eq(&events(&[b"data: a\n\nevent: error\r\ndata: b\r\n\r\ndata: c"], 100));
}

#[test]
fn oversized_event() {
    expect![[r#"
        [
            "an event is larger than 10 bytes; send smaller events",
        ]
    "#]]
    .assert_debug_eq(&events(&[b"data: ", b"a long value"], 10));
}

#[test]
fn field_values() {
    assert_eq!(sse::field(&sse::named_event("error", "why"), "event"), Some(&b"error"[..]));
    assert_eq!(sse::field(&sse::data_event("{}"), "data"), Some(&b"{}"[..]));
    assert_eq!(sse::field(b"data:x\r\n\r\n", "data"), Some(&b"x"[..]));
    assert_eq!(sse::field(b": comment\n\n", "data"), None);
}

proptest! {
    #[test]
    fn arbitrary_chunks(parts in prop::collection::vec("[a-z\r]{0,5}", 1..8), cuts in prop::collection::vec(0..60usize, 0..8)) {
        let expected: Vec<_> = parts.iter().map(|it| format!("data: {it}x\n\n")).collect();
        let whole = expected.concat();
        let mut cuts: Vec<_> = cuts.into_iter().map(|it| it.min(whole.len())).collect();
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let chunks: Vec<_> = cuts.windows(2).map(|it| &whole.as_bytes()[it[0]..it[1]]).collect();
        prop_assert_eq!(events(&chunks, 1_000), expected);
    }
}

/// Guards against texts and heads of errors that are taken for events, and against events that are not.
#[test]
fn foreign_blocks() {
    let events = [
        "id: 4\ndata: piece 4\n\n",
        "x-version: 3\r\nid: 4\r\ndata: HTTP/1.1 500 as a text\r\n\r\n",
        "data\n\n",
        ": comment\n\n",
        "\n\n",
        "\u{feff}data: first\n\n",
    ];
    for event in events {
        assert!(sse::is_event(event.as_bytes()), "{event:?}");
    }
    let others = [
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\n",
        "id: 4\ndata: pieHTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n",
        "data: piece\nHTTP/1.1 502 Bad Gateway\r\n\r\n",
        "upstream error\n\n",
        "Error: no upstream\n\n",
    ];
    for other in others {
        assert!(!sse::is_event(other.as_bytes()), "{other:?}");
    }
}
