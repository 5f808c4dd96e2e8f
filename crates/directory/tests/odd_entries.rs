//! Guards against one entry of another writer that hides all servers: a page was parsed as one value,
//! so an entry that cannot be read failed the whole list.

use directory::{parse_array, parse_field};
use proptest::{prelude::*, test_runner::RngSeed};
use serde::Deserialize;

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Entry {
    id: String,
    port: u16,
}

fn page(odd: &[u8]) -> Vec<u8> {
    let (first, last) = (
        &br#"{"instances":[{"id":"a","port":1},"#[..],
        &br#",{"id":"b","port":2}],"next":"p"}"#[..],
    );
    [first, odd, last].concat()
}

/// The ids that are read from a page with an odd entry between two sound ones, or the error.
fn ids(body: &[u8]) -> Result<Vec<String>, String> {
    let list = parse_field::<Entry>(body, "instances").map_err(|err| err.to_string())?;
    assert_eq!(list.fields, [(&b"next"[..], &b"\"p\""[..])]);
    Ok(list.entries.into_iter().map(|it| it.id).collect())
}

fn nested(depth: usize) -> Vec<u8> {
    [b"[".repeat(depth), b"]".repeat(depth)].concat()
}

#[test]
fn each_kind() {
    let kinds: Vec<Vec<u8>> = vec![
        b"{\"id\":\"\xff\xfe\x80\",\"port\":3}".to_vec(),
        b"{\"\xc3\x28\":1}".to_vec(),
        b"\xff\xfe".to_vec(),
        br#"{"id":"\ud800","port":3}"#.to_vec(),
        br#"{"id":"\x41","port":3}"#.to_vec(),
        br#"{"id":"c","port":1e999}"#.to_vec(),
        br#"{"id":"c","port":99999999999999999999999999}"#.to_vec(),
        br#"{"id":"c","port":70000}"#.to_vec(),
        br#"{"id":"c","port":-1}"#.to_vec(),
        br#"{"id":"c","port":007}"#.to_vec(),
        br#"{"id":"c","port":+7}"#.to_vec(),
        br#"{"id":"c","port":0x10}"#.to_vec(),
        br#"{"id":"c","port":NaN}"#.to_vec(),
        br#"{"id":"c","port":Infinity}"#.to_vec(),
        br#"{"id":undefined,"port":3}"#.to_vec(),
        br#"{'id':'c','port':3}"#.to_vec(),
        br#"{id:c}"#.to_vec(),
        br#"{"id":"c","port":3,}"#.to_vec(),
        br#"{"id":"c" "port":3}"#.to_vec(),
        br#"{"id":"c","id":"c","port":3}"#.to_vec(),
        b"{\"id\":\"c\x00\n\",\"port\":3}".to_vec(),
        b"".to_vec(),
        b"null".to_vec(),
        b"nul".to_vec(),
        b"1e999".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        nested(200),
        nested(20_000),
        [br#"{"id":"#.to_vec(), nested(200), b"}".to_vec()].concat(),
        [
            br#"{"id":"#.to_vec(),
            b"{\"id\":".repeat(5_000),
            b"1".to_vec(),
            b"}".repeat(5_000),
            b"}".to_vec(),
        ]
        .concat(),
        [br#"{"id":""#.to_vec(), b"c".repeat(100_000), br#"","port":3}"#.to_vec()].concat(),
        // A text or a bracket without its end.
        br#"{"id":"c,"port":3}"#.to_vec(),
        br#"{"id":"c","port":3"#.to_vec(),
        br#"{"id":["c","port":3}"#.to_vec(),
        br#"{"id":"c"]"#.to_vec(),
        b"]".to_vec(),
        b"}".to_vec(),
        b"\"".to_vec(),
        b"{\"id\":\"c\\\",\"port\":3}".to_vec(),
        [b"[".to_vec(), b"{\"a\":".repeat(300)].concat(),
    ];
    for odd in kinds {
        let shown = String::from_utf8_lossy(&odd[..odd.len().min(60)]).into_owned();
        let expected = Ok(vec!["a".to_owned(), "b".to_owned()]);
        assert_eq!(ids(&page(&odd)), expected, "beside {shown}");
    }
}

#[test]
fn odd_entry_last() {
    for odd in [&br#"{"id":"#[..], br#"{"id":"c"#, br#"{"id":["c"}"#, b"\xff", b"[[[["] {
        let body =
            [&br#"{"instances":[{"id":"a","port":1},"#[..], odd, br#"],"next":"p"}"#].concat();
        assert_eq!(ids(&body), Ok(vec!["a".to_owned()]));
    }
}

/// What an odd entry holds of its own is no entry of the list.
#[test]
fn nested_entries() {
    let odd = br#"{"id":7,"copies":[{"id":"c","port":3},{"id":"d","port":4}]}"#;
    assert_eq!(ids(&page(odd)), Ok(vec!["a".to_owned(), "b".to_owned()]));
}

#[test]
fn truncated_page() {
    let body = page(b"null");
    for end in 0..body.len() {
        assert!(ids(&body[..end]).is_err(), "the first {end} bytes pass for a page");
    }
    assert!(parse_array::<Entry>(br#"[{"id":"a","port":1}"#).is_err());
    assert!(parse_array::<Entry>(br#"[{"id":"a","port":1}] x"#).is_err());
    assert!(parse_field::<Entry>(br#"{"next":null}"#, "instances").is_err());
}

#[test]
fn empty_lists() {
    assert_eq!(parse_array::<Entry>(b" [ ] ").unwrap().entries, []);
    let list = parse_field::<Entry>(br#"{"next":null,"instances":[]}"#, "instances").unwrap();
    assert_eq!((list.entries, list.malformed_entries), (Vec::new(), 0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever one entry holds, it hides no other one, as long as it has no brackets, quotes or commas.
    #[test]
    fn any_bytes(odd in proptest::collection::vec(any::<u8>(), 0..200)) {
        let is_plain = !odd.iter().any(|it| b"\"[]{},".contains(it));
        let read = parse_field::<Entry>(&page(&odd), "instances").map(|it| it.entries.len());
        if is_plain {
            prop_assert_eq!(read, Ok(2));
        }
    }
}
