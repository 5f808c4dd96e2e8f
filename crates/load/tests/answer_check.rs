//! Truncated, duplicated, foreign and otherwise wrong answers are distinguished.

use engine_model::answer;
use expect_test::{Expect, expect};
use load::answer_check::{AnswerFault, check_prefix, check_whole};

const MODEL: &str = "small";
const PROMPT: &str = "when is dawn";
const MAX_TOKENS: u32 = 6;

fn tokens() -> Vec<String> {
    answer::tokens(MODEL, PROMPT, MAX_TOKENS)
}

fn result_name(result: Result<(), AnswerFault>) -> String {
    result.map_or_else(|fault| fault.to_string(), |()| "correct".to_owned())
}

/// Checks `text` both as a whole answer and as a prefix of one.
fn check(text: &str, expect: Expect) {
    let whole = result_name(check_whole(MODEL, PROMPT, MAX_TOKENS, text));
    let prefix = result_name(check_prefix(MODEL, PROMPT, MAX_TOKENS, text));
    expect.assert_eq(&format!("whole: {whole}, prefix: {prefix}"));
}

#[test]
fn whole_answer() {
    check(&tokens().concat(), expect!["whole: correct, prefix: correct"]);
}

#[test]
fn truncated_answer() {
    check("", expect!["whole: cut, prefix: correct"]);
    check(&tokens()[..4].concat(), expect!["whole: cut, prefix: correct"]);
    let whole = tokens().concat();
    check(&whole[..whole.len() - 1], expect!["whole: cut, prefix: correct"]);
}

#[test]
fn duplicated_token() {
    let mut tokens = tokens();
    tokens.insert(3, tokens[2].clone());
    check(&tokens.concat(), expect!["whole: duplicated, prefix: duplicated"]);
}

#[test]
fn duplicated_tokens() {
    let tokens = tokens();
    check(
        &[&tokens[..4], &tokens[2..]].concat().concat(),
        expect!["whole: duplicated, prefix: duplicated"],
    );
    check(&tokens.concat().repeat(2), expect!["whole: duplicated, prefix: duplicated"]);
}

#[test]
fn foreign_answer() {
    check(
        &answer::tokens(MODEL, "another prompt", MAX_TOKENS).concat(),
        expect!["whole: foreign, prefix: foreign"],
    );
    check(
        &answer::tokens("large", PROMPT, MAX_TOKENS).concat(),
        expect!["whole: foreign, prefix: foreign"],
    );
}

#[test]
fn lost_token() {
    let mut tokens = tokens();
    tokens.remove(2);
    check(&tokens.concat(), expect!["whole: wrong, prefix: wrong"]);
}

#[test]
fn added_token() {
    check(&format!("{} extra", tokens().concat()), expect!["whole: wrong, prefix: wrong"]);
}
