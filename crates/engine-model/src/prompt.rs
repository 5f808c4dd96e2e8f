//! A substitute for a tokenizer: each whitespace-separated word is one token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PrefixBlock;

/// Counts the tokens of `text`; an empty text counts as one token.
pub fn token_count(text: &str) -> u32 {
    let words = text.split_whitespace().count();
    u32::try_from(words).unwrap_or(u32::MAX).max(1)
}

/// Hashes each complete block of `block_tokens` tokens, chained with all blocks before it.
///
/// Two prompts share the first n hashes if and only if they share the first n blocks, apart from
/// hash collisions. An incomplete last block has no hash.
pub fn prefix_blocks(text: &str, block_tokens: u32) -> Vec<PrefixBlock> {
    let words: Vec<_> = text.split_whitespace().collect();
    let mut previous = 0;
    let mut blocks = Vec::new();
    for block in words.chunks_exact(block_tokens.max(1) as usize) {
        previous = xxh3_64_with_seed(block.join(" ").as_bytes(), previous);
        blocks.push(PrefixBlock(previous));
    }
    blocks
}

/// Joins the contents of a request's messages into the prompt text.
pub fn prompt_text<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    contents.into_iter().collect::<Vec<_>>().join("\n")
}
