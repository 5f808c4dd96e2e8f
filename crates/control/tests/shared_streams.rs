//! The software version that began a stream is known at all control VMs.

mod support;

use dissemination::{BegunStreams, MemberState, StreamHash, Summary};
use policy::VersionHash;
use support::{Cluster, wait_until};

/// Guards against a stream that is taken up at a router of another control VM, which does not know the
/// version that began it.
#[test]
fn across_control_vms() {
    let cluster = Cluster::start(3);
    let stream = StreamHash::of("9c41d07be2a35f68");
    let begun = BegunStreams::group([(stream, VersionHash(7))]);
    let told =
        Summary { begun_streams: begun.clone(), ..MemberState::new("router-1").empty_summary() };
    wait_until("a report to node 1", || cluster.exchange(1, &told));
    for node in 1..=3 {
        let asking = Summary {
            stream_lookups: vec![stream],
            ..MemberState::new(&format!("asking-{node}")).empty_summary()
        };
        wait_until("the version at each node", || {
            cluster.exchange(node, &asking).filter(|it| it.found_streams == begun)
        });
    }
}
