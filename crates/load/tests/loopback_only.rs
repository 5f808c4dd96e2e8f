//! Load is refused against any address outside of this machine.

use expect_test::{Expect, expect};
use load::loopback::LoopbackAddr;

fn check(text: &str, expect: Expect) {
    let verdict = match text.parse::<LoopbackAddr>() {
        Ok(addr) => format!("taken: {addr}"),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&verdict);
}

#[test]
fn loopback_taken() {
    check("127.0.0.1:8080", expect!["taken: 127.0.0.1:8080"]);
    check("127.3.2.1:80", expect!["taken: 127.3.2.1:80"]);
    check("[::1]:8080", expect!["taken: [::1]:8080"]);
}

#[test]
fn others_refused() {
    check(
        "192.0.2.7:8080",
        expect![
            "192.0.2.7:8080 is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only"
        ],
    );
    check(
        "0.0.0.0:8080",
        expect!["0.0.0.0:8080 is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only"],
    );
    check(
        "[2001:db8::1]:80",
        expect![
            "[2001:db8::1]:80 is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only"
        ],
    );
    check(
        "[::ffff:127.0.0.1]:80",
        expect![
            "[::ffff:127.0.0.1]:80 is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only"
        ],
    );
}

#[test]
fn names_refused() {
    check(
        "localhost:8080",
        expect![
            "`localhost:8080` is no address; write an IP number and a port, as in 127.0.0.1:8080"
        ],
    );
    check(
        "127.0.0.1",
        expect!["`127.0.0.1` is no address; write an IP number and a port, as in 127.0.0.1:8080"],
    );
}
