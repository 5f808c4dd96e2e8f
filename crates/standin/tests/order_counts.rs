//! The order service executes each call, also if the reply is lost, and counts calls by key.

mod support;

use serde_json::json;
use standin::{OrderSettings, ServiceSettings, StandIn};
use support::{Caller, Reply, call, read_stat, serve, set_faults};

fn orders() -> StandIn {
    serve(ServiceSettings::Orders(OrderSettings::default()))
}

fn place_order(server: &StandIn, key: &str) -> Option<Reply> {
    let mut caller = Caller::connect(server.addr);
    caller.send("POST", "/orders", &format!("idempotency-key: {key}\r\n"), r#"{"charge":12}"#);
    caller.receive()
}

fn count(server: &StandIn, key: &str) -> u64 {
    let reply = call(server.addr, "GET", &format!("/orders/count?key={key}"), "");
    reply.json()["count"].as_u64().expect("a count")
}

#[test]
fn repeats_executed() {
    let server = orders();
    for _ in 0..2 {
        assert_eq!(place_order(&server, "k1").expect("a receipt").status, 200);
    }
    place_order(&server, "k2");
    assert_eq!((count(&server, "k1"), count(&server, "k2"), count(&server, "k3")), (2, 1, 0));
    assert_eq!(read_stat(server.addr, "executions"), 3);
    assert_eq!(read_stat(server.addr, "repeated_executions"), 1);
}

#[test]
fn executed_despite_lost_reply() {
    let server = orders();
    set_faults(server.addr, json!({ "lose_answers": 1 }));
    assert!(place_order(&server, "k1").is_none());
    assert_eq!(count(&server, "k1"), 1);
    assert_eq!(place_order(&server, "k2").expect("a receipt").status, 200);
}

#[test]
fn refused_not_executed() {
    let server = orders();
    set_faults(server.addr, json!({ "refuse": true }));
    assert_eq!(place_order(&server, "k1").expect("a refusal").header("x-not-started"), Some("1"));
    assert_eq!(read_stat(server.addr, "executions"), 0);
}

#[test]
fn crash_before_execution() {
    let server = orders();
    set_faults(server.addr, json!({ "crash_marker": "charge" }));
    assert!(place_order(&server, "k1").is_none());
    server.wait();
}
