//! A connection to a control VM that falls silent is replaced, and changes still come into force.

use system_tests::{Setup, SilentRelay, Site, until};

#[test]
fn router_link() {
    let mut site = Site::start_without_routers(Setup::default());
    let relay = SilentRelay::start(site.addr("control-1"));
    // There is no other way to the control VMs than the relay.
    site.start_router("router-1", &[relay.addr()]);
    site.await_ready("router-1");
    let opened = relay.accepted();
    relay.silence();
    let revision = site.apply("second", 30_001);
    site.await_revision("router-1", revision);
    until("a new link", || (relay.accepted() > opened).then_some(()));
}
