//! An answer that is cut, crossed or changed is told from the right one.

use engine_model::answer;
use expect_test::{Expect, expect};

const MODEL: &str = "small";

fn check(text: &str, expect: Expect) {
    let verdict = match answer::check(MODEL, "when is dawn", 8, text) {
        Ok(()) => "right".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&verdict);
}

fn right() -> Vec<String> {
    answer::tokens(MODEL, "when is dawn", 8)
}

#[test]
fn whole_is_right() {
    check(&right().concat(), expect!["right"]);
}

#[test]
fn missing_tail_is_cut() {
    check(&right()[..5].concat(), expect!["the answer ends after 5 of 8 tokens: ask again"]);
    check("", expect!["the answer ends after 0 of 8 tokens: ask again"]);
}

#[test]
fn other_prompt_is_foreign() {
    let other = answer::tokens(MODEL, "when is noon", 8).concat();
    check(
        &other,
        expect!["the answer begins with tagdcadbb60f6506384, another request's tag: discard it"],
    );
}

#[test]
fn repeated_token_is_wrong() {
    let mut tokens = right();
    tokens.insert(3, tokens[3].clone());
    check(&tokens.concat(), expect!["the answer differs at token 4: discard it"]);
}

#[test]
fn added_tail_is_wrong() {
    let text = right().concat() + " more";
    check(&text, expect!["the answer differs at token 8: discard it"]);
}

#[test]
fn lengths_spread() {
    let mut lengths: Vec<_> =
        (0..1_000).map(|idx| answer::full_length(MODEL, &format!("prompt {idx}"))).collect();
    lengths.sort_unstable();
    let mean = lengths.iter().sum::<u32>() / 1_000;
    let summary = format!(
        "shortest {} median {} longest {} mean {mean}",
        lengths[0], lengths[500], lengths[999]
    );
    expect!["shortest 8 median 170 longest 1195 mean 244"].assert_eq(&summary);
}
