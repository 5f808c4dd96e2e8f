//! The one right answer for each prompt, so that a caller can check what it received.
//!
//! The first token is a tag made from model and prompt: an answer that begins with another tag
//! was meant for another caller.

use derive_more::{Display, Error};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Lengths of answers in tokens at equal steps of probability; the mean is about 244.
const LENGTH_QUANTILES: [u32; 12] = [8, 40, 65, 90, 120, 150, 185, 230, 290, 390, 560, 1_200];

const TAG_MARK: &str = "tag";

const WORDS: [&str; 32] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "jetty",
    "knoll", "larch", "maple", "north", "ocean", "plain", "quartz", "ridge", "shore", "trail",
    "upper", "vale", "willow", "yarrow", "zenith", "birch", "cliff", "dune", "field", "glade",
    "harbor", "island",
];

/// What is wrong with an answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AnswerFault {
    /// The answer is right as far as it goes, but ends early.
    #[display("the answer ends after {received_tokens} of {expected_tokens} tokens: ask again")]
    Truncated {
        /// Tokens received.
        received_tokens: usize,
        /// Tokens of the whole answer.
        expected_tokens: usize,
    },
    /// The answer belongs to another prompt or model.
    #[display("the answer begins with {tag}, another request's tag: discard it")]
    OtherRequest {
        /// The tag that it begins with.
        tag: String,
    },
    /// The answer has a lost, repeated, changed or added token.
    #[display("the answer differs at token {at_token}: discard it")]
    Mismatch {
        /// Index of the first token that differs.
        at_token: usize,
    },
}

/// The tokens of the answer, each a short word with a leading space.
pub fn tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    let seed = seed(model, prompt);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let length = draw_length(&mut rng).min(max_tokens) as usize;
    let mut tokens = vec![format!(" {}", tag(seed))];
    tokens.resize_with(length.max(1), || format!(" {}", draw_word(&mut rng)));
    tokens
}

/// The length of the answer in tokens if no `max_tokens` cuts it.
pub fn full_length(model: &str, prompt: &str) -> u32 {
    draw_length(&mut ChaCha8Rng::seed_from_u64(seed(model, prompt)))
}

/// Checks that `text` is the whole answer to this prompt and nothing else.
///
/// # Errors
/// Says whether the text was cut, is another prompt's or is wrong in itself.
pub fn check(model: &str, prompt: &str, max_tokens: u32, text: &str) -> Result<(), AnswerFault> {
    let expected = tokens(model, prompt, max_tokens);
    let whole = expected.concat();
    if text == whole {
        return Ok(());
    }
    if whole.starts_with(text) {
        return Err(AnswerFault::Truncated {
            received_tokens: whole_tokens(&expected, text),
            expected_tokens: expected.len(),
        });
    }
    let first = text.split_whitespace().next().unwrap_or_default();
    if first.starts_with(TAG_MARK) && Some(first) != expected.first().map(|it| it.trim()) {
        return Err(AnswerFault::OtherRequest { tag: first.to_owned() });
    }
    Err(AnswerFault::Mismatch { at_token: whole_tokens(&expected, text) })
}

fn seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0))
}

fn tag(seed: u64) -> String {
    format!("{TAG_MARK}{seed:016x}")
}

/// Draws a segment between two quantiles and a length within it.
fn draw_length(rng: &mut ChaCha8Rng) -> u32 {
    let segment = rng.next_u32() as usize % (LENGTH_QUANTILES.len() - 1);
    let shortest = LENGTH_QUANTILES[segment];
    let longest = LENGTH_QUANTILES[segment + 1];
    shortest + rng.next_u32() % (longest - shortest)
}

fn draw_word(rng: &mut ChaCha8Rng) -> &'static str {
    WORDS[rng.next_u32() as usize % WORDS.len()]
}

/// Counts the tokens at the head of `text` that are as expected.
fn whole_tokens(expected: &[String], text: &str) -> usize {
    let mut rest = text;
    for (idx, token) in expected.iter().enumerate() {
        let Some(tail) = rest.strip_prefix(token.as_str()) else { return idx };
        rest = tail;
    }
    expected.len()
}
