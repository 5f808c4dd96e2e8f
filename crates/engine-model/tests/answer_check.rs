//! Guards against an answer check that accepts or misclassifies a truncated answer, another
//! request's answer or a changed one.

use engine_model::answer;
use expect_test::{Expect, expect};

const MODEL: &str = "small";

fn check(text: &str, expect: Expect) {
    let result = match answer::check(MODEL, "when is dawn", 8, text) {
        Ok(()) => "correct".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&result);
}

fn expected_tokens() -> Vec<String> {
    answer::tokens(MODEL, "when is dawn", 8)
}

#[test]
fn complete_answer() {
    check(&expected_tokens().concat(), expect!["correct"]);
}

#[test]
fn truncated_answer() {
    check(
        &expected_tokens()[..5].concat(),
        expect!["answer truncated after 5 of 8 tokens: retry the request"],
    );
    check("", expect!["answer truncated after 0 of 8 tokens: retry the request"]);
}

#[test]
fn other_prompts_answer() {
    let other = answer::tokens(MODEL, "when is noon", 8).concat();
    check(
        &other,
        expect!["answer begins with the tag tagdcadbb60f6506384 of another request: discard it"],
    );
}

#[test]
fn repeated_token() {
    let mut tokens = expected_tokens();
    tokens.insert(3, tokens[3].clone());
    check(&tokens.concat(), expect!["answer differs from the expected one at token 4: discard it"]);
}

#[test]
fn trailing_token() {
    let text = expected_tokens().concat() + " more";
    check(&text, expect!["answer differs from the expected one at token 8: discard it"]);
}

#[test]
fn length_distribution() {
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
