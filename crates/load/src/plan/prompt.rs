//! Generates prompts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::WorkspaceIdx;

const WORDS: [&str; 16] = [
    "please",
    "draft",
    "the",
    "monthly",
    "timetable",
    "for",
    "our",
    "members",
    "tag",
    "each",
    "clip",
    "from",
    "last",
    "night",
    "and",
    "summarise",
];

/// A prompt that starts with words shared by the whole workspace, so that the engines' prefix
/// caches have hits, followed by `work_id` and `words` random words.
pub(super) fn chat(
    workspace: WorkspaceIdx,
    shared_words: u32,
    work_id: &str,
    words: u32,
    rng: &mut ChaCha8Rng,
) -> String {
    let mut prompt = format!("workspace {}:", workspace.0);
    for idx in 0..shared_words as usize {
        push_word(&mut prompt, WORDS[(idx + workspace.0) % WORDS.len()]);
    }
    push_word(&mut prompt, work_id);
    for _ in 0..words {
        push_word(&mut prompt, WORDS[rng.random_range(0..WORDS.len())]);
    }
    prompt
}

fn push_word(prompt: &mut String, word: &str) {
    prompt.push(' ');
    prompt.push_str(word);
}
