//! Guards against a router that misses table changes because its connection to a control VM stays
//! open but carries no data.

use system_tests::{Setup, SilentRelay, Site, wait_for};

#[test]
fn router_reconnects() {
    let mut site = Site::start_without_routers(Setup::default());
    let relay = SilentRelay::start(site.addr("control-1"));
    // The router reaches the control VMs only through the relay.
    site.start_router("router-1", &[relay.addr()]);
    site.await_ready("router-1");
    let opened = relay.accepted();
    relay.silence_open();
    let revision = site.apply("second", 30_001);
    site.await_revision("router-1", revision);
    wait_for("a new connection", || (relay.accepted() > opened).then_some(()));
}
