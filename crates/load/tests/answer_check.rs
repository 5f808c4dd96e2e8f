//! Cut, repeated and foreign answers are told apart.

use expect_test::{Expect, expect};
use load::answer_check;

fn check(received: &[&str], expect: Expect) {
    let expected = [" a", " b", " c", " d"];
    let verdict = match answer_check::check(&expected, received) {
        Ok(()) => "whole".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&verdict);
}

fn check_text(received: &str, expect: Expect) {
    let verdict = match answer_check::check_text(" a bb c", received) {
        Ok(()) => "whole".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&verdict);
}

#[test]
fn whole_answer() {
    check(&[" a", " b", " c", " d"], expect!["whole"]);
    check_text(" a bb c", expect!["whole"]);
}

#[test]
fn cut_answer() {
    check(&[], expect!["cut"]);
    check(&[" a", " b", " c"], expect!["cut"]);
    check_text(" a b", expect!["cut"]);
}

#[test]
fn repeated_token() {
    check(&[" a", " b", " b", " c", " d"], expect!["duplicated"]);
    check(&[" a", " b", " c", " b", " c", " d"], expect!["duplicated"]);
}

#[test]
fn repeated_whole() {
    check(&[" a", " b", " c", " d", " a", " b", " c", " d"], expect!["duplicated"]);
    check_text(" a bb c a bb c", expect!["duplicated"]);
}

#[test]
fn foreign_answer() {
    check(&[" x", " y", " z"], expect!["foreign"]);
    check(&[" a", " b", " x", " d"], expect!["foreign"]);
    check(&[" a", " c", " d"], expect!["foreign"]);
    check(&[" a", " b", " c", " d", " x"], expect!["foreign"]);
}
