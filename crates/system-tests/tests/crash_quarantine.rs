//! A request that crashes engines fells two at most, through whichever router it is sent again.

use system_tests::{Setup, Site, chat, get, post, until};

const ENGINES: usize = 4;
const RESENDS: usize = 6;
const ROUTERS: [&str; 2] = ["router-1", "router-2"];

fn site_that_crashes() -> Site {
    let site = Site::start(Setup { engines: ENGINES, ..Setup::default() });
    for engine in 1..=ENGINES {
        let addr = site.addr(&format!("engine-{engine}"));
        let set = post(addr, "/faults", &[], r#"{"crash_marker":"poison"}"#).expect("an answer");
        assert_eq!(set.status, 200, "{set:?}");
    }
    site
}

/// Sends the request again and again, and gives how many engines it has felled in all.
fn fell(site: &mut Site) -> usize {
    for resend in 0..RESENDS {
        let router = ROUTERS[resend % ROUTERS.len()];
        let reply = chat(site.addr(router), "poison", 8).expect("the router answers");
        assert!(!reply.body.contains("[DONE]"), "{reply:?}");
    }
    site.fallen_engines()
}

#[test]
fn told_routers() {
    let mut site = site_that_crashes();
    let first = chat(site.addr("router-1"), "poison", 8).expect("the router answers");
    assert!(!first.body.contains("[DONE]"), "{first:?}");
    until("word of both crashes", || {
        let report = get(site.admin("router-2"), "/quarantine")?.body;
        (report.matches("server-hash").count() >= 2).then_some(())
    });
    assert_eq!(fell(&mut site), 2);
    for router in ROUTERS {
        let innocent = chat(site.addr(router), "innocent", 8).expect("the router answers");
        assert!(innocent.body.ends_with("data: [DONE]\n\n"), "{innocent:?}");
    }
}

#[test]
fn resend_before_word() {
    let mut site = site_that_crashes();
    assert_eq!(fell(&mut site), 2);
}
