//! Compares a received answer with the expected answer to its request.
//!
//! The answers of the stand-ins are a function of model and prompt. A truncated, duplicated or
//! foreign answer is therefore detected without relying on what the system under test reports.

use derive_more::Display;
use engine_model::answer;
use serde::{Deserialize, Serialize};

/// The kind of difference between a received and an expected answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// It is truncated but was delivered as whole.
    #[display("cut")]
    Cut,
    /// Some tokens, or the whole answer, occur twice.
    #[display("duplicated")]
    Duplicated,
    /// It is the answer to another request.
    #[display("foreign")]
    Foreign,
    /// It differs in another way, for example by a lost or an added token.
    #[display("wrong")]
    Wrong,
}

/// Checks that `text` is the whole answer to `prompt`.
///
/// # Errors
///
/// The kind of difference, if there is one.
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

/// Checks that `text` is a prefix of the answer to `prompt`, for answers that ended with an
/// explicit failure.
///
/// # Errors
///
/// The kind of difference, if there is one.
pub fn check_prefix(
    model: &str,
    prompt: &str,
    max_tokens: u32,
    text: &str,
) -> Result<(), AnswerFault> {
    match check_whole(model, prompt, max_tokens, text) {
        Err(AnswerFault::Cut) => Ok(()),
        result => result,
    }
}

/// Whether `text` matches `expected` up to some token, then goes back by at least one token and
/// matches `expected` from there to the end of `text`.
fn is_repetition(expected: &str, text: &str) -> bool {
    let expected: Vec<&str> = expected.split(' ').skip(1).collect();
    let received: Vec<&str> = text.split(' ').skip(1).collect();
    let common = expected.iter().zip(&received).take_while(|(a, b)| a == b).count();
    let remainder = &received[common..];
    (0..common).any(|from| {
        let repeated = &expected[from..];
        let repeated_len = remainder.iter().zip(repeated).take_while(|(a, b)| a == b).count();
        repeated_len == remainder.len() && repeated_len >= common - from
    })
}
