//! An engine refuses orders with an old fencing number, or applies them if fencing is ignored.

mod support;

use expect_test::{Expect, expect};
use standin::{EngineSettings, settings::Fencing};
use support::{call, engine, fast_settings};

fn check_replies(fencing: Fencing, expect: Expect) {
    let server = engine(EngineSettings { fencing, ..fast_settings() });
    let mut log = Vec::new();
    for (number, version) in [(4, "v1"), (5, "v2"), (4, "v0"), (5, "v3")] {
        let order = format!(
            r#"{{"fencing":{number},"kind":"load","model":"small","version":"{version}"}}"#
        );
        let reply = call(server.addr, "POST", "/v1/orders", &order);
        log.push(format!("{} {}", reply.status, reply.body));
    }
    expect.assert_eq(&log.join("\n"));
}

#[test]
fn fencing_enforced() {
    check_replies(
        Fencing::Enforced,
        expect![[r#"
        200 {"fencing":4,"applied":1,"stale_applied":0,"role":"","models":{"small":"v1"}}
        200 {"fencing":5,"applied":2,"stale_applied":0,"role":"","models":{"small":"v2"}}
        409 {"fencing":5}
        200 {"fencing":5,"applied":3,"stale_applied":0,"role":"","models":{"small":"v3"}}"#]],
    );
}

#[test]
fn fencing_ignored() {
    check_replies(
        Fencing::Ignored,
        expect![[r#"
        200 {"fencing":4,"applied":1,"stale_applied":0,"role":"","models":{"small":"v1"}}
        200 {"fencing":5,"applied":2,"stale_applied":0,"role":"","models":{"small":"v2"}}
        200 {"fencing":5,"applied":3,"stale_applied":1,"role":"","models":{"small":"v0"}}
        200 {"fencing":5,"applied":4,"stale_applied":1,"role":"","models":{"small":"v3"}}"#]],
    );
}
