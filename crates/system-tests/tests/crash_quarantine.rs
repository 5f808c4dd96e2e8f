//! Guards against a request that crashes engine after engine: it crashes at most two, whichever
//! router it is resent through.

use system_tests::{Setup, Site, chat, get, post, wait_for};

const ENGINES: usize = 4;
const RESENDS: usize = 6;
const ROUTERS: [&str; 2] = ["router-1", "router-2"];

fn site_with_crashing_engines() -> Site {
    let site = Site::start(Setup { engines: ENGINES, ..Setup::default() });
    for engine in 1..=ENGINES {
        let addr = site.addr(&format!("engine-{engine}"));
        let reply = post(addr, "/faults", &[], r#"{"crash_marker":"poison"}"#).expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    site
}

/// Resends the request through both routers and returns how many engines have crashed in all.
fn resend_crashing_request(site: &mut Site) -> usize {
    for resend in 0..RESENDS {
        let router = ROUTERS[resend % ROUTERS.len()];
        let reply = chat(site.addr(router), "poison", 8).expect("the router answers");
        assert!(!reply.body.contains("[DONE]"), "{reply:?}");
    }
    site.crashed_engines()
}

#[test]
fn quarantine_is_shared() {
    let mut site = site_with_crashing_engines();
    let first = chat(site.addr("router-1"), "poison", 8).expect("the router answers");
    assert!(!first.body.contains("[DONE]"), "{first:?}");
    wait_for("both crash reports at router-2", || {
        let report = get(site.admin("router-2"), "/quarantine")?.body;
        (report.matches("server-hash").count() >= 2).then_some(())
    });
    assert_eq!(resend_crashing_request(&mut site), 2);
    for router in ROUTERS {
        let innocent = chat(site.addr(router), "innocent", 8).expect("the router answers");
        assert!(innocent.body.ends_with("data: [DONE]\n\n"), "{innocent:?}");
    }
}

#[test]
fn resend_before_exchange() {
    let mut site = site_with_crashing_engines();
    assert_eq!(resend_crashing_request(&mut site), 2);
}
