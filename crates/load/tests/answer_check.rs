//! Cut, repeated, crossed and wrong answers are told apart.

use engine_model::answer;
use expect_test::{Expect, expect};
use load::answer_check::{AnswerFault, check_start, check_whole};

const MODEL: &str = "small";
const PROMPT: &str = "when is dawn";
const MAX_TOKENS: u32 = 6;

fn tokens() -> Vec<String> {
    answer::tokens(MODEL, PROMPT, MAX_TOKENS)
}

fn name(verdict: Result<(), AnswerFault>) -> String {
    verdict.map_or_else(|fault| fault.to_string(), |()| "right".to_owned())
}

/// Checks `text` once as a whole answer and once as the start of one.
fn check(text: &str, expect: Expect) {
    let whole = name(check_whole(MODEL, PROMPT, MAX_TOKENS, text));
    let start = name(check_start(MODEL, PROMPT, MAX_TOKENS, text));
    expect.assert_eq(&format!("whole: {whole}, start: {start}"));
}

#[test]
fn whole_answer() {
    check(&tokens().concat(), expect!["whole: right, start: right"]);
}

#[test]
fn cut_answer() {
    check("", expect!["whole: cut, start: right"]);
    check(&tokens()[..4].concat(), expect!["whole: cut, start: right"]);
    let whole = tokens().concat();
    check(&whole[..whole.len() - 1], expect!["whole: cut, start: right"]);
}

#[test]
fn repeated_token() {
    let mut tokens = tokens();
    tokens.insert(3, tokens[2].clone());
    check(&tokens.concat(), expect!["whole: duplicated, start: duplicated"]);
}

#[test]
fn repeated_run() {
    let tokens = tokens();
    check(
        &[&tokens[..4], &tokens[2..]].concat().concat(),
        expect!["whole: duplicated, start: duplicated"],
    );
    check(&tokens.concat().repeat(2), expect!["whole: duplicated, start: duplicated"]);
}

#[test]
fn crossed_answer() {
    check(
        &answer::tokens(MODEL, "another prompt", MAX_TOKENS).concat(),
        expect!["whole: foreign, start: foreign"],
    );
    check(
        &answer::tokens("large", PROMPT, MAX_TOKENS).concat(),
        expect!["whole: foreign, start: foreign"],
    );
}

#[test]
fn lost_token() {
    let mut tokens = tokens();
    tokens.remove(2);
    check(&tokens.concat(), expect!["whole: wrong, start: wrong"]);
}

#[test]
fn added_token() {
    check(&format!("{} extra", tokens().concat()), expect!["whole: wrong, start: wrong"]);
}
