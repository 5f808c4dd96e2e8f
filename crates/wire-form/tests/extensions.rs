//! Messages between builds that know different extensions.

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wire_form::{ExtensionId, Extensions, decode, encode};

const FIRST: ExtensionId = ExtensionId(1);
const SECOND: ExtensionId = ExtensionId(300);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    name: String,
    rows: Vec<u32>,
}

fn base() -> Base {
    Base { name: "router-a".to_owned(), rows: vec![1, 300] }
}

fn message() -> Vec<u8> {
    let mut extensions = Extensions::default();
    extensions.insert(FIRST, &7_u16).expect("an encoding");
    extensions.insert(SECOND, &vec!["a", "b"]).expect("an encoding");
    encode(&base(), &extensions).expect("an encoding")
}

#[test]
fn all_read() {
    let (read, extensions) = decode::<Base>(&message()).expect("a message");
    assert_eq!(read, base());
    assert_eq!(extensions.get(FIRST), Ok(Some(7_u16)));
    assert_eq!(extensions.get(SECOND), Ok(Some(vec!["a".to_owned(), "b".to_owned()])));
    assert_eq!(extensions.get::<u16>(ExtensionId(2)), Ok(None));
}

/// Builds before the first extension read the base alone.
#[test]
fn base_first() {
    assert_eq!(postcard::from_bytes::<Base>(&message()), Ok(base()));
    let old = postcard::to_stdvec(&base()).expect("an encoding");
    let (read, extensions) = decode::<Base>(&old).expect("a message");
    assert_eq!((read, extensions.is_empty()), (base(), true));
}

/// A damaged or foreign extension costs itself only.
#[test]
fn content_malformed() {
    let (_, extensions) = decode::<Base>(&message()).expect("a message");
    assert!(extensions.get::<String>(FIRST).is_err());
    assert_eq!(extensions.get(SECOND), Ok(Some(vec!["a".to_owned(), "b".to_owned()])));
}

proptest! {
    /// No bytes of a peer end the process, and a message that is cut short is no whole one.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..64), kept in 0_usize..64) {
        let _ = decode::<Base>(&bytes);
        let message = message();
        let cut = &message[..kept.min(message.len() - 1)];
        if let Ok((_, extensions)) = decode::<Base>(cut) {
            prop_assert_ne!(extensions.get(SECOND), Ok(Some(vec!["a".to_owned(), "b".to_owned()])));
        }
    }
}
