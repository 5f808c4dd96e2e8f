//! Which servers may be asked whether this router is cut off.

use std::time::{Duration, Instant};

use policy::{BackendEntry, PoolSpec, Scheduler, Settings, Spec};

/// Guards against probes of servers that rest from all requests, when another server has crashed or nothing
/// arrives.
#[test]
fn not_in_a_rest() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(Settings::default());
    let pools = vec![PoolSpec { name: "pool".to_owned(), ..PoolSpec::default() }];
    scheduler.configure(Spec { revision: 1, pools, ..Spec::default() }).expect("a valid spec");
    let pool = scheduler.pool("pool").expect("it is configured");
    let entry = BackendEntry { name: "i-1", pool, incarnation: 0 };
    let server = scheduler.backend_live(now, &entry).expect("the pool is known");
    assert!(scheduler.may_be_probed(now, server));
    scheduler.pause_requested(now, server, Duration::from_secs(3));
    assert!(!scheduler.may_be_probed(now + Duration::from_secs(2), server));
    assert!(scheduler.may_be_probed(now + Duration::from_secs(3), server));
    scheduler.cut_off(now, pool);
    assert!(!scheduler.may_be_probed(now + Duration::from_secs(3), server));
    assert!(!scheduler.is_reachable(pool));
}
