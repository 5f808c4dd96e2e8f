//! Compares the answer that a caller received with the one that its request must have.
//!
//! Answers of the stand-ins follow from model and prompt, so a cut, repeated, crossed or foreign
//! answer is told from a whole one without trust in what the system under test says about it.

use derive_more::Display;
use engine_model::answer;
use serde::{Deserialize, Serialize};

/// What is wrong with an answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// It stops before its end but was given as whole.
    #[display("cut")]
    Cut,
    /// Tokens stand twice, or the whole does.
    #[display("duplicated")]
    Duplicated,
    /// It is the answer to another request.
    #[display("foreign")]
    Foreign,
    /// It differs in another way, as by a lost or an added token.
    #[display("wrong")]
    Wrong,
}

/// Checks that `text` is the whole answer to `prompt`.
///
/// # Errors
///
/// The kind of difference, where there is one.
pub fn check_whole(
    model: &str,
    prompt: &str,
    max_tokens: u32,
    text: &str,
) -> Result<(), AnswerFault> {
    let Err(fault) = answer::check(model, prompt, max_tokens, text) else { return Ok(()) };
    match fault {
        answer::AnswerFault::Truncated { .. } => Err(AnswerFault::Cut),
        answer::AnswerFault::OtherRequest { .. } => Err(AnswerFault::Foreign),
        answer::AnswerFault::Mismatch { .. } => {
            let expected = answer::tokens(model, prompt, max_tokens).concat();
            Err(if is_repetition(&expected, text) {
                AnswerFault::Duplicated
            } else {
                AnswerFault::Wrong
            })
        }
    }
}

/// Checks that `text` is a start of the answer to `prompt`, for answers that ended with a clear
/// failure.
///
/// # Errors
///
/// The kind of difference, where there is one.
pub fn check_start(
    model: &str,
    prompt: &str,
    max_tokens: u32,
    text: &str,
) -> Result<(), AnswerFault> {
    match check_whole(model, prompt, max_tokens, text) {
        Err(AnswerFault::Cut) => Ok(()),
        verdict => verdict,
    }
}

/// Whether `text` follows `expected` up to some token, goes back by one token or more and follows
/// it again to the end of `text`.
fn is_repetition(expected: &str, text: &str) -> bool {
    let expected: Vec<&str> = expected.split(' ').skip(1).collect();
    let received: Vec<&str> = text.split(' ').skip(1).collect();
    let same = expected.iter().zip(&received).take_while(|(a, b)| a == b).count();
    let rest = &received[same..];
    (0..same).any(|from| {
        let again = &expected[from..];
        let run = rest.iter().zip(again).take_while(|(a, b)| a == b).count();
        run == rest.len() && run >= same - from
    })
}
