//! Guards against accepted changes that a router misses, and routers that return to an older
//! revision, also after a restart.

use system_tests::{Setup, Site, wait_for};

const ROUTERS: [&str; 2] = ["router-1", "router-2"];
const CHANGES: u64 = 300;
const FIRST_DEADLINE_MS: u64 = 30_000;

/// The revisions that a router has applied, in order, after the first `from` bytes of its log.
fn revisions(site: &Site, router: &str, from: usize) -> Vec<u64> {
    let log = site.log(router);
    // The last line may still be incomplete.
    let lines = log[from..].split_inclusive('\n').filter(|it| it.ends_with('\n'));
    let lines = lines.filter(|it| it.contains("event=tables_in_force"));
    let field = |it: &str| it.split("revision=").nth(1)?.split_whitespace().next()?.parse().ok();
    lines.map(|it| field(it).expect("a revision in the line")).collect()
}

/// The same, up to `revision` at least. A router writes its log later than it applies a revision.
fn revisions_until(site: &Site, router: &str, from: usize, revision: u64) -> Vec<u64> {
    site.await_revision(router, revision);
    wait_for("the revision in the log", || {
        Some(revisions(site, router, from)).filter(|it| it.iter().any(|it| *it >= revision))
    })
}

/// Restarts a router and checks that it applies nothing older than `revision`.
fn check_restart(site: &mut Site, router: &str, revision: u64, before_start: impl Fn(&mut Site)) {
    site.kill(router);
    let from = site.log(router).len();
    before_start(site);
    site.restart(router);
    let applied = revisions_until(site, router, from, revision);
    site.await_ready(router);
    assert!(applied.iter().all(|it| *it >= revision), "{applied:?} after {revision}");
}

#[test]
fn change_reaches_routers() {
    let site = Site::start(Setup::default());
    let first = site.revision("router-1").expect("the router answers");
    let revision = site.apply("second", FIRST_DEADLINE_MS + 1);
    assert!(revision > first);
    for router in ROUTERS {
        site.await_revision(router, revision);
    }
}

#[test]
fn suspended_control_vm() {
    let mut site = Site::start(Setup::default());
    site.suspend("control-1");
    let revision = site.apply("second", FIRST_DEADLINE_MS + 1);
    site.await_revision("router-2", revision);
    check_restart(&mut site, "router-1", revision, |_| {});
    let revision = site.apply("third", FIRST_DEADLINE_MS + 2);
    // The router's preferred control VM has missed two changes and resumes only now.
    check_restart(&mut site, "router-1", revision, |site| site.resume("control-1"));
}

#[test]
fn many_changes() {
    let mut site = Site::start(Setup::default());
    let mut revision = 0;
    for number in 1..=CHANGES {
        revision = site.apply(&format!("change-{number}"), FIRST_DEADLINE_MS + number);
    }
    check_restart(&mut site, "router-1", revision, |_| {});
    check_restart(&mut site, "router-1", revision, |site| {
        site.kill("control-1");
        site.restart("control-1");
    });
    let applied = revisions_until(&site, "router-2", 0, revision);
    assert!(applied.is_sorted() && applied.len() > 1, "{applied:?}");
}
