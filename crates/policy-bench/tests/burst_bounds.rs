//! The bounds that the policy keeps at both users' sizes, on fixed seeds in virtual time.

use std::time::Duration;

use policy_bench::{
    Design, Fault, FaultKind, Results, Traffic, Users, Workload, WorkloadSettings, run,
};

const URGENT_ATTAINMENT: f64 = 0.99;
const URGENT_ATTAINMENT_AFTER_FAULT: f64 = 0.95;
const WASTED_PART: f64 = 0.03;
const GOODPUT_PART: f64 = 0.95;

fn settings(users: Users, seed: u64) -> WorkloadSettings {
    WorkloadSettings {
        users,
        seed,
        duration: Duration::from_secs(25),
        burst_from: Duration::from_secs(5),
        ..WorkloadSettings::default()
    }
}

fn leases(settings: WorkloadSettings) -> (Workload, Results) {
    let workload = Workload::new(settings);
    let results = run(&workload, Design::Leases);
    (workload, results)
}

fn check_burst(settings: WorkloadSettings) {
    let (workload, results) = leases(settings);
    assert!(results.classes[0].attainment >= URGENT_ATTAINMENT, "{results:#?}");
    assert!(results.wasted_part <= WASTED_PART, "{results:#?}");
    assert!(results.goodput_part >= GOODPUT_PART, "{results:#?}");
    for (class, result) in workload.classes.iter().zip(&results.classes).skip(1) {
        assert!(result.share * 1e3 >= f64::from(class.share_permille), "{results:#?}");
    }
}

fn check_faults(users: Users, seed: u64) {
    let at = Duration::from_secs(10);
    let straggler = FaultKind::Straggler { server: 1, slowdown_permille: 5_000 };
    let crash = FaultKind::Crash { server: 2, down: Duration::from_secs(8) };
    let faults = [straggler, crash].map(|kind| Fault { at, kind }).to_vec();
    let (_, results) = leases(WorkloadSettings { faults, ..settings(users, seed) });
    let urgent = &results.classes[0];
    assert!(urgent.attainment_after_fault >= URGENT_ATTAINMENT_AFTER_FAULT, "{results:#?}");
}

#[test]
fn van_dalen_burst() {
    check_burst(settings(Users::VanDalen, 1));
}

#[test]
fn consortium_burst() {
    check_burst(settings(Users::Consortium, 2));
}

/// Routers with lower work only must not fill the engines that others need for urgent work.
#[test]
fn burst_by_class() {
    let traffic = Traffic::ByClass;
    check_burst(WorkloadSettings { traffic, routers: 9, ..settings(Users::VanDalen, 9) });
}

#[test]
fn van_dalen_faults() {
    check_faults(Users::VanDalen, 3);
}

#[test]
fn consortium_faults() {
    check_faults(Users::Consortium, 4);
}

#[test]
fn goodput_does_not_fall() {
    let load = |burst_load| WorkloadSettings { burst_load, ..settings(Users::Consortium, 5) };
    let (_, full) = leases(load(1.2));
    let (_, triple) = leases(load(3.0));
    assert!(
        triple.goodput >= full.goodput * GOODPUT_PART,
        "{} to {}",
        full.goodput,
        triple.goodput
    );
}

#[test]
fn lost_router() {
    let at = Duration::from_secs(10);
    let faults = vec![Fault { at, kind: FaultKind::RouterLost { router: 1 } }];
    let (_, results) = leases(WorkloadSettings { faults, ..settings(Users::VanDalen, 6) });
    assert!(
        results.classes[0].attainment_after_fault >= URGENT_ATTAINMENT_AFTER_FAULT,
        "{results:#?}"
    );
    assert!(results.goodput_part >= GOODPUT_PART, "{results:#?}");
}

#[test]
fn ahead_of_baselines() {
    let workload = Workload::new(settings(Users::VanDalen, 7));
    let urgent = |design| run(&workload, design).classes[0].attainment;
    let ours = urgent(Design::Leases);
    for design in [Design::RoundRobin, Design::LeastInFlight, Design::StrictPriority] {
        assert!(ours >= urgent(design), "{design}");
    }
}

#[test]
fn same_seed_same_results() {
    let settings = WorkloadSettings {
        duration: Duration::from_secs(4),
        burst_from: Duration::from_secs(1),
        ..settings(Users::Consortium, 8)
    };
    let results = [(), ()].map(|()| format!("{:?}", leases(settings.clone()).1));
    assert_eq!(results[0], results[1]);
}
