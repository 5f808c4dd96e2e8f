//! Every address that is not a loopback address is refused.

use expect_test::{Expect, expect};
use load::loopback::LoopbackAddr;

fn check(text: &str, expect: Expect) {
    let result = match text.parse::<LoopbackAddr>() {
        Ok(addr) => format!("accepted: {addr}"),
        Err(fault) => fault.to_string(),
    };
    expect.assert_eq(&result);
}

#[test]
fn loopback_accepted() {
    check("127.0.0.1:8080", expect!["accepted: 127.0.0.1:8080"]);
    check("127.3.2.1:80", expect!["accepted: 127.3.2.1:80"]);
    check("[::1]:8080", expect!["accepted: [::1]:8080"]);
}

#[test]
fn other_addresses_refused() {
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
fn malformed_addresses_refused() {
    check(
        "localhost:8080",
        expect![
            "`localhost:8080` is not an address; write an IP address and a port, as in 127.0.0.1:8080"
        ],
    );
    check(
        "127.0.0.1",
        expect![
            "`127.0.0.1` is not an address; write an IP address and a port, as in 127.0.0.1:8080"
        ],
    );
}
