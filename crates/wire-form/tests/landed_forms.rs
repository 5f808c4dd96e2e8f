//! Reads and writes the forms that a landed build writes, byte for byte.
//!
//! The bytes in `landed` were written once by the build that they are named after, and are never written
//! anew. A form that needs another field gets an extension or a new form; see "Builds side by side" in
//! docs/DESIGN.md.

#[path = "support/samples.rs"]
mod samples;

use std::fmt::Debug;

use directory::{ListedVm, decode_list, encode_list};

const E542694: &str = include_str!("landed/e542694.txt");

/// Checks that this build writes `sample` as the landed build did, and reads those bytes as `sample`.
fn check<T: PartialEq + Debug, E: Debug>(
    name: &str,
    sample: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<T, E>,
) {
    let landed = landed(name);
    assert_eq!(hex(&encode(sample)), hex(&landed), "the form `{name}` has changed");
    assert_eq!(&decode(&landed).expect("readable bytes"), sample, "the form `{name}`");
}

/// The bytes of a form in the file, one `NAME = BYTES` a line.
fn landed(name: &str) -> Vec<u8> {
    let line = E542694.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(" = "));
    let digits = line.unwrap_or_else(|| panic!("no bytes of `{name}`"));
    let byte = |it: usize| u8::from_str_radix(&digits[it..it + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

#[test]
fn exchanges_unchanged() {
    use dissemination::{decode_digest, decode_summary, encode_digest, encode_summary};
    for (name, summary) in samples::summaries() {
        check(name, &summary, encode_summary, decode_summary);
    }
    for (name, digest) in samples::digests() {
        check(name, &digest, encode_digest, decode_digest);
    }
}

/// Guards against a build that cannot read the summaries of a newer one.
#[test]
fn extensions_last() {
    use dissemination::{Summary, decode_summary, encode_summary};
    for (name, summary) in samples::summaries() {
        let newer = Summary { level: Some(7), ..summary };
        let bytes = encode_summary(&newer);
        assert!(bytes.starts_with(&landed(name)), "the base of `{name}` has changed");
        assert_eq!(decode_summary(&bytes), Ok(newer));
    }
}

#[test]
fn deliveries_unchanged() {
    let encode = |it: &control::Envelope| it.encode().expect("an encoding");
    for (name, envelope) in samples::envelopes() {
        check(&name, &envelope, encode, control::Envelope::decode);
    }
}

#[test]
fn commands_unchanged() {
    use control_state::{decode_command, decode_response, encode_command, encode_response};
    for (name, command) in samples::commands() {
        check(name, &command, encode_command, decode_command);
    }
    for (name, response) in samples::responses() {
        check(name, &response, encode_response, decode_response);
    }
}

#[test]
fn state_unchanged() {
    let state = samples::state();
    let landed = landed("state");
    assert_eq!(hex(&state.snapshot()), hex(&landed), "the form `state` has changed");
    let restored = control_state::State::restore(&landed).expect("a readable snapshot");
    assert_eq!(hex(&restored.snapshot()), hex(&landed), "the form `state`");
}

#[test]
fn lists_unchanged() {
    check("list", &samples::list(), |it: &Vec<ListedVm>| encode_list(it), decode_list);
}

/// Guards against spot servers that change what an older build reads of the list.
#[test]
fn spot_servers_last() {
    let mut list = samples::list();
    (list[0].is_spot, list[0].leaves_in_ms) = (true, Some(2_000));
    let bytes = encode_list(&list);
    assert!(bytes.starts_with(&landed("list")), "the base of `list` has changed");
    let base: Vec<ListedVm> = postcard::from_bytes(&bytes).expect("a base");
    assert_eq!(base, samples::list());
}

#[test]
fn deltas_unchanged() {
    let encode = |it: &tables::Delta| postcard::to_stdvec(it).expect("an encoding");
    check("delta", &samples::delta(), encode, |bytes| postcard::from_bytes(bytes));
}

#[test]
fn answers_unchanged() {
    let encode =
        |it: &router::order_ledger::StoredAnswer| postcard::to_stdvec(it).expect("an encoding");
    check("stored-answer", &samples::stored_answer(), encode, |bytes| postcard::from_bytes(bytes));
}
