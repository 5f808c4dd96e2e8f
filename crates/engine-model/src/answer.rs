//! The deterministic answer for each model and prompt, so that a caller can verify a response.
//!
//! The first token is a tag derived from the model and the prompt: a response that begins with a
//! different tag belongs to another request.

use derive_more::{Display, Error};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Answer lengths at equally spaced quantiles; the mean is about 244 tokens.
const LENGTH_QUANTILES_TOKENS: [u32; 12] =
    [8, 40, 65, 90, 120, 150, 185, 230, 290, 390, 560, 1_200];

const TAG_PREFIX: &str = "tag";

const WORDS: [&str; 32] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "jetty",
    "knoll", "larch", "maple", "north", "ocean", "plain", "quartz", "ridge", "shore", "trail",
    "upper", "vale", "willow", "yarrow", "zenith", "birch", "cliff", "dune", "field", "glade",
    "harbor", "island",
];

/// How a received answer differs from the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AnswerFault {
    /// The answer is a proper prefix of the expected one.
    #[display(
        "answer truncated after {received_tokens} of {expected_tokens} tokens: retry the request"
    )]
    Truncated {
        /// Complete tokens received.
        received_tokens: usize,
        /// Length of the expected answer in tokens.
        expected_tokens: usize,
    },
    /// The answer begins with the tag of another prompt or model.
    #[display("answer begins with the tag {tag} of another request: discard it")]
    OtherRequest {
        /// The tag found.
        tag: String,
    },
    /// The answer has a missing, repeated, changed or additional token.
    #[display("answer differs from the expected one at token {at_token}: discard it")]
    Mismatch {
        /// Index of the first token that differs.
        at_token: usize,
    },
}

/// Returns the tokens of the answer, each a short word with a leading space.
pub fn tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    let seed = seed(model, prompt);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let length = draw_length(&mut rng).min(max_tokens) as usize;
    let mut tokens = vec![format!(" {}", tag(seed))];
    tokens.resize_with(length.max(1), || format!(" {}", draw_word(&mut rng)));
    tokens
}

/// Returns the length of the answer in tokens when no `max_tokens` limits it.
pub fn full_length(model: &str, prompt: &str) -> u32 {
    draw_length(&mut ChaCha8Rng::seed_from_u64(seed(model, prompt)))
}

/// Checks that `text` is exactly the complete answer to `prompt`.
///
/// # Errors
/// Returns an [`AnswerFault`] if the text is truncated, belongs to another request or differs.
pub fn check(model: &str, prompt: &str, max_tokens: u32, text: &str) -> Result<(), AnswerFault> {
    let expected = tokens(model, prompt, max_tokens);
    let expected_text = expected.concat();
    if text == expected_text {
        return Ok(());
    }
    if expected_text.starts_with(text) {
        return Err(AnswerFault::Truncated {
            received_tokens: matching_tokens(&expected, text),
            expected_tokens: expected.len(),
        });
    }
    let first = text.split_whitespace().next().unwrap_or_default();
    if first.starts_with(TAG_PREFIX) && Some(first) != expected.first().map(|it| it.trim()) {
        return Err(AnswerFault::OtherRequest { tag: first.to_owned() });
    }
    Err(AnswerFault::Mismatch { at_token: matching_tokens(&expected, text) })
}

fn seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0))
}

fn tag(seed: u64) -> String {
    format!("{TAG_PREFIX}{seed:016x}")
}

/// Draws a segment between two adjacent quantiles, then a length within it.
fn draw_length(rng: &mut ChaCha8Rng) -> u32 {
    let segment = rng.next_u32() as usize % (LENGTH_QUANTILES_TOKENS.len() - 1);
    let shortest = LENGTH_QUANTILES_TOKENS[segment];
    let longest = LENGTH_QUANTILES_TOKENS[segment + 1];
    shortest + rng.next_u32() % (longest - shortest)
}

fn draw_word(rng: &mut ChaCha8Rng) -> &'static str {
    WORDS[rng.next_u32() as usize % WORDS.len()]
}

/// Counts the leading tokens of `text` that match `expected`.
fn matching_tokens(expected: &[String], text: &str) -> usize {
    let mut rest = text;
    for (idx, token) in expected.iter().enumerate() {
        let Some(tail) = rest.strip_prefix(token.as_str()) else { return idx };
        rest = tail;
    }
    expected.len()
}
