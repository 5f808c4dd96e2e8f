//! Servers that start again under the name or at the address that they had. Guards against a server
//! that is listed and well, but never gets a request again.

mod support;

use clock::ManualClock;
use directory::{ListedVm, VmState};
use router::dispatch::Dispatcher;
use support::{
    listed::{self, POOL},
    run,
};

/// When the first servers started, in milliseconds since the Unix epoch; zero in lists that do not
/// tell it.
const STARTS: [u64; 2] = [0, 1_790_000_000_000];

fn entry(label: &str, port: u16, start: u64, state: VmState) -> ListedVm {
    ListedVm {
        addr: ([127, 0, 0, 1], port).into(),
        failure_domain: String::new(),
        pool: POOL.to_owned(),
        incarnation: start,
        label: label.to_owned(),
        software_version: "v1".to_owned(),
        slots: 4,
        state,
        is_spot: false,
        leaves_in_ms: None,
    }
}

fn dispatcher() -> Dispatcher {
    listed::dispatcher(&ManualClock::default())
}

/// Reads a complete list and returns the ports of the servers that get requests.
fn list(dispatcher: &Dispatcher, vms: &[&ListedVm]) -> Vec<u16> {
    dispatcher.replace_servers(POOL, vms);
    usable(dispatcher)
}

fn usable(dispatcher: &Dispatcher) -> Vec<u16> {
    dispatcher.usable_servers(POOL).iter().map(|it| it.addr.port()).collect()
}

/// The name of the first server that gets requests.
fn name(dispatcher: &Dispatcher) -> String {
    dispatcher.usable_servers(POOL)[0].name.to_string()
}

#[test]
fn after_draining() {
    run(async {
        for (start, lags) in [(0, false), (0, true), (STARTS[1], false), (STARTS[1], true)] {
            let dispatcher = dispatcher();
            let other = entry("i-2", 2, start, VmState::Live);
            let ready = entry("i-1", 1, start, VmState::Live);
            let draining = entry("i-1", 1, start, VmState::Leaving);
            let restarted = entry("i-1", 1, start + 9_000 * u64::from(start > 0), VmState::Live);
            assert_eq!(list(&dispatcher, &[&ready, &other]), [1, 2]);
            assert_eq!(list(&dispatcher, &[&draining, &other]), [2]);
            if lags {
                // An older list shows it as ready once more.
                assert_eq!(list(&dispatcher, &[&ready, &other]), [2]);
            }
            (0..2).for_each(|_| assert_eq!(list(&dispatcher, &[&other]), [2]));
            assert_eq!(list(&dispatcher, &[&restarted, &other]), [1, 2], "start {start}");
        }
    });
}

/// The list tells the restart by the start alone: no list was read while the server was away.
#[test]
fn without_absence() {
    run(async {
        let dispatcher = dispatcher();
        let draining = entry("i-1", 1, STARTS[1], VmState::Leaving);
        let restarted = entry("i-1", 1, STARTS[1] + 2_000, VmState::Live);
        assert!(list(&dispatcher, &[&draining]).is_empty());
        assert_eq!(list(&dispatcher, &[&restarted]), [1]);
        // An older list is no news of the server.
        assert_eq!(list(&dispatcher, &[&draining]), [1]);
    });
}

#[test]
fn beside_crashed_predecessor() {
    run(async {
        for start in STARTS {
            for (old_at, new_at) in [(0, 1), (1, 0)] {
                let dispatcher = dispatcher();
                let old = entry("i-1", 1, start, VmState::Live);
                let new = entry("i-7", 1, start + 2_000 * u64::from(start > 0), VmState::Live);
                assert_eq!(list(&dispatcher, &[&old]), [1]);
                let mut both = [&old; 2];
                (both[old_at], both[new_at]) = (&old, &new);
                for _ in 0..4 {
                    assert_eq!(list(&dispatcher, &both), [1]);
                    assert_eq!(name(&dispatcher), "i-7");
                }
                (0..3).for_each(|_| assert_eq!(list(&dispatcher, &[&new]), [1], "start {start}"));
            }
        }
    });
}

/// A list that lags shows the predecessor alone once more.
#[test]
fn predecessor_again() {
    run(async {
        let dispatcher = dispatcher();
        let (old, new) = (entry("i-1", 1, 0, VmState::Live), entry("i-7", 1, 0, VmState::Live));
        list(&dispatcher, &[&old]);
        assert_eq!(list(&dispatcher, &[&new]), [1]);
        assert_eq!(list(&dispatcher, &[&old]), [1]);
        assert_eq!(list(&dispatcher, &[&new]), [1]);
        assert_eq!(name(&dispatcher), "i-7");
    });
}

#[test]
fn at_another_address() {
    run(async {
        for start in STARTS {
            let dispatcher = dispatcher();
            let before = entry("i-1", 1, start, VmState::Live);
            let after = entry("i-1", 2, start + 2_000 * u64::from(start > 0), VmState::Live);
            assert_eq!(list(&dispatcher, &[&before]), [1]);
            for _ in 0..4 {
                assert!(list(&dispatcher, &[&after]).contains(&2), "start {start}");
            }
            assert_eq!(usable(&dispatcher), [2]);
        }
    });
}

/// Another router still reports the server that drained at the address before.
#[test]
fn report_of_predecessor() {
    run(async {
        let dispatcher = dispatcher();
        let draining = entry("i-1", 1, 0, VmState::Leaving);
        let other = entry("i-2", 2, 0, VmState::Live);
        let new = entry("i-7", 1, 0, VmState::Live);
        let report = ListedVm { label: String::new(), ..draining.clone() };
        assert_eq!(list(&dispatcher, &[&draining, &other]), [2]);
        (0..2).for_each(|_| assert_eq!(list(&dispatcher, &[&other]), [2]));
        assert_eq!(list(&dispatcher, &[&new, &other]), [1, 2]);
        dispatcher.update_servers(POOL, &[&report]);
        assert_eq!(usable(&dispatcher), [1, 2]);
    });
}

/// Another router has reported the server before the list names it. Guards against an incarnation above
/// that of the list, under which the server's next start would be none.
#[test]
fn reported_before_listed() {
    run(async {
        let dispatcher = dispatcher();
        let live = entry("i-1", 1, 3, VmState::Live);
        let report = ListedVm { label: String::new(), ..live.clone() };
        dispatcher.update_servers(POOL, &[&report]);
        dispatcher.update_servers(POOL, &[&live]);
        dispatcher.update_servers(POOL, &[&entry("i-1", 1, 3, VmState::Leaving)]);
        assert!(usable(&dispatcher).is_empty());
        dispatcher.update_servers(POOL, &[&entry("i-1", 1, 4, VmState::Live)]);
        assert_eq!(usable(&dispatcher), [1]);
    });
}
