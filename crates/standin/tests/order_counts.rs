//! The order service executes each call, also when nobody hears of it, and counts by key.

mod support;

use serde_json::json;
use standin::{OrderSettings, ServiceSettings, StandIn};
use support::{Caller, Received, call, serve, set_faults, stat};

fn orders() -> StandIn {
    serve(ServiceSettings::Orders(OrderSettings::default()))
}

fn order(server: &StandIn, key: &str) -> Option<Received> {
    let mut caller = Caller::connect(server.addr);
    caller.send("POST", "/orders", &format!("idempotency-key: {key}\r\n"), r#"{"charge":12}"#);
    caller.receive()
}

fn count(server: &StandIn, key: &str) -> u64 {
    let reply = call(server.addr, "GET", &format!("/orders/count?key={key}"), "");
    reply.json()["count"].as_u64().expect("a count")
}

#[test]
fn repeats_are_executed() {
    let server = orders();
    for _ in 0..2 {
        assert_eq!(order(&server, "k1").expect("a receipt").status, 200);
    }
    order(&server, "k2");
    assert_eq!((count(&server, "k1"), count(&server, "k2"), count(&server, "k3")), (2, 1, 0));
    assert_eq!(stat(server.addr, "executions"), 3);
    assert_eq!(stat(server.addr, "repeated_executions"), 1);
}

#[test]
fn lost_answer_was_executed() {
    let server = orders();
    set_faults(server.addr, json!({ "lose_answers": 1 }));
    assert!(order(&server, "k1").is_none());
    assert_eq!(count(&server, "k1"), 1);
    assert_eq!(order(&server, "k2").expect("a receipt").status, 200);
}

#[test]
fn refused_is_not_executed() {
    let server = orders();
    set_faults(server.addr, json!({ "refuse": true }));
    assert_eq!(order(&server, "k1").expect("a refusal").header("x-not-started"), Some("1"));
    assert_eq!(stat(server.addr, "executions"), 0);
}

#[test]
fn crash_before_execution() {
    let server = orders();
    set_faults(server.addr, json!({ "crash_marker": "charge" }));
    assert!(order(&server, "k1").is_none());
    server.wait();
}
