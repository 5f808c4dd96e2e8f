//! Compares the answer that a caller received with the one that its request must have.
//!
//! Answers of the stand-ins follow from model and prompt, so a cut, repeated, crossed or foreign
//! answer is told from a whole one without trust in what the system under test says about it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is wrong with an answer that was given as whole.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// It stops before its end but was given as whole.
    #[display("cut")]
    Cut,
    /// Tokens stand twice, or something follows its end.
    #[display("duplicated")]
    Duplicated,
    /// It is the answer to another request, or holds a part of one.
    #[display("foreign")]
    Foreign,
}

/// Compares `received` with `expected`, token by token.
///
/// # Errors
///
/// The kind of difference, where there is one.
pub fn check<S: AsRef<str>>(expected: &[S], received: &[S]) -> Result<(), AnswerFault> {
    let expected: Vec<&str> = expected.iter().map(AsRef::as_ref).collect();
    let received: Vec<&str> = received.iter().map(AsRef::as_ref).collect();
    if expected == received {
        return Ok(());
    }
    if expected.starts_with(&received) {
        return Err(AnswerFault::Cut);
    }
    if has_repetition(&expected, &received) {
        return Err(AnswerFault::Duplicated);
    }
    Err(AnswerFault::Foreign)
}

/// Compares `received` with `expected` where the answer came as one text.
///
/// # Errors
///
/// The kind of difference, where there is one.
pub fn check_text(expected: &str, received: &str) -> Result<(), AnswerFault> {
    if expected == received {
        return Ok(());
    }
    if expected.starts_with(received) {
        return Err(AnswerFault::Cut);
    }
    let expected: Vec<&str> = expected.split(' ').collect();
    let received: Vec<&str> = received.split(' ').collect();
    check(&expected, &received)
}

/// Whether `received` becomes `expected`, or a start of it, when one run of tokens that repeats
/// those just before it is taken out.
fn has_repetition(expected: &[&str], received: &[&str]) -> bool {
    let same = expected.iter().zip(received).take_while(|(a, b)| a == b).count();
    (1..=same).any(|len| {
        let rest = &received[same..];
        let repeated = &expected[same - len..];
        let run = rest.iter().zip(repeated).take_while(|(a, b)| a == b).count();
        run == rest.len() && run >= len
    })
}
