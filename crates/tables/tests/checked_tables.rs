//! Checks that valid tables are joined, and that invalid ones are rejected with all faults at once.

use expect_test::{Expect, expect};
use tables::{Revision, TablesText, check};

const POOLS: &str = "\
[chat-model]
kind = engine
model = small
servers = 127.0.0.1:9001@fd-1, 127.0.0.1:9002@fd-2
";

const ROUTES: &str = "\
[chat]
path = /v1/chat/completions
priority = 0
pool = chat-model
target_first_token_ms = 450
deadline_ms = 5000
share_permille = 500
idempotent = yes
[summary]
path = /v1/chat/completions
priority = 4
pool = chat-model
deadline_ms = 60000
idempotent = yes
";

fn expect_faults(routes: &str, pools: &str, expected: Expect) {
    let text = TablesText { routes: routes.to_owned(), pools: pools.to_owned() };
    let found = check(Revision(1), &text).expect_err("the tables have faults");
    expected.assert_eq(&found.to_string());
}

#[test]
fn routes_join_pools() {
    let text = TablesText { routes: ROUTES.to_owned(), pools: POOLS.to_owned() };
    let tables = check(Revision(7), &text).expect("the tables are valid");

    let chat = tables
        .find_route("", "/v1/chat/completions", Some("chat"))
        .expect("the class chat matches");
    assert_eq!(tables.pool(tables.route(chat).pool).servers.len(), 2);
    let unnamed = tables
        .find_route("", "/v1/chat/completions", None)
        .expect("a route matches without a class");
    assert_eq!(tables.route(unnamed).class, "summary");
    assert_eq!(tables.find_route("", "/elsewhere", None), None);
}

#[test]
fn all_faults_listed() {
    let routes = ROUTES
        .replace("deadline_ms = 5000", "deadline_s = 5")
        .replace("pool = chat-model\ndeadline_ms = 60000", "pool = none\ndeadline_ms = soon");
    expect_faults(
        &routes,
        &POOLS.replace("9002@fd-2", "9002"),
        expect![[r#"
            pools:4: chat-model.servers: `127.0.0.1:9002` does not fit; write ADDRESS:PORT@FAILURE_DOMAIN, separated by commas
            routes:1: chat.deadline_ms: is missing; write a whole number of milliseconds, such as 450
            routes:1: chat.deadline_ms: is before a target; make it the longest of the times
            routes:6: chat.deadline_s: unknown key; write deadline_ms, in the unit that its name ends in
            routes:12: summary.pool: no pool is named `none`; add the pool or use one of: chat-model
            routes:13: summary.deadline_ms: `soon` does not fit; write a whole number of milliseconds, such as 450"#]],
    );
}

#[test]
fn shares_too_high() {
    let routes = ROUTES.replace("deadline_ms = 60000", "deadline_ms = 60000\nshare_permille = 501");
    expect_faults(
        &routes,
        POOLS,
        expect![
            "routes:14: summary.share_permille: the shares of pool chat-model come to over 1000; lower some of them"
        ],
    );
}

#[test]
fn duplicate_rows() {
    expect_faults(
        &format!("{ROUTES}{}", "[chat]\npath = /x\n"),
        POOLS,
        expect!["routes:15: chat: stands twice; keep one of them"],
    );
}
