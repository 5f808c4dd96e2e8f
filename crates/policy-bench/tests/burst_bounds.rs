//! Guards against a policy that misses the urgent class's targets, starves the lower classes or
//! wastes tokens in a burst or after a fault. Seeds are fixed and time is virtual.

use std::time::Duration;

use policy_bench::{
    Deployment, Design, Fault, FaultKind, Results, Traffic, Workload, WorkloadSettings, run,
};

const URGENT_ATTAINMENT_MIN: f64 = 0.99;
const URGENT_ATTAINMENT_AFTER_FAULT_MIN: f64 = 0.95;
const WASTED_PART_MAX: f64 = 0.03;
const GOODPUT_PART_MIN: f64 = 0.95;

fn settings(deployment: Deployment, seed: u64) -> WorkloadSettings {
    WorkloadSettings {
        deployment,
        seed,
        duration: Duration::from_secs(25),
        burst_from: Duration::from_secs(5),
        ..WorkloadSettings::default()
    }
}

fn run_leases(settings: WorkloadSettings) -> (Workload, Results) {
    let workload = Workload::new(settings);
    let results = run(&workload, Design::Leases);
    (workload, results)
}

fn check_burst(settings: WorkloadSettings) {
    let (workload, results) = run_leases(settings);
    assert!(results.classes[0].attainment >= URGENT_ATTAINMENT_MIN, "{results:#?}");
    assert!(results.wasted_part <= WASTED_PART_MAX, "{results:#?}");
    assert!(results.goodput_part >= GOODPUT_PART_MIN, "{results:#?}");
    for (class, result) in workload.classes.iter().zip(&results.classes).skip(1) {
        assert!(result.share * 1e3 >= f64::from(class.share_permille), "{results:#?}");
    }
}

fn check_faults(deployment: Deployment, seed: u64) {
    let at = Duration::from_secs(10);
    let straggler = FaultKind::Straggler { server: 1, slowdown_permille: 5_000 };
    let crash = FaultKind::Crash { server: 2, downtime: Duration::from_secs(8) };
    let faults = [straggler, crash].map(|kind| Fault { at, kind }).to_vec();
    let (_, results) = run_leases(WorkloadSettings { faults, ..settings(deployment, seed) });
    let urgent = &results.classes[0];
    assert!(urgent.attainment_after_fault >= URGENT_ATTAINMENT_AFTER_FAULT_MIN, "{results:#?}");
}

#[test]
fn van_dalen_burst() {
    check_burst(settings(Deployment::VanDalen, 1));
}

#[test]
fn consortium_burst() {
    check_burst(settings(Deployment::Consortium, 2));
}

/// Guards against routers with requests of the lower classes only that fill the engines which other
/// routers need for urgent requests.
#[test]
fn burst_by_class() {
    let traffic = Traffic::ByClass;
    check_burst(WorkloadSettings { traffic, routers: 9, ..settings(Deployment::VanDalen, 9) });
}

#[test]
fn van_dalen_faults() {
    check_faults(Deployment::VanDalen, 3);
}

#[test]
fn consortium_faults() {
    check_faults(Deployment::Consortium, 4);
}

#[test]
fn overload_goodput() {
    let load = |burst_load| WorkloadSettings { burst_load, ..settings(Deployment::Consortium, 5) };
    let (_, full) = run_leases(load(1.2));
    let (_, triple) = run_leases(load(3.0));
    assert!(
        triple.goodput >= full.goodput * GOODPUT_PART_MIN,
        "goodput fell from {} to {} tokens/s at triple load",
        full.goodput,
        triple.goodput
    );
}

#[test]
fn router_loss() {
    let at = Duration::from_secs(10);
    let faults = vec![Fault { at, kind: FaultKind::RouterLost { router: 1 } }];
    let (_, results) = run_leases(WorkloadSettings { faults, ..settings(Deployment::VanDalen, 6) });
    assert!(
        results.classes[0].attainment_after_fault >= URGENT_ATTAINMENT_AFTER_FAULT_MIN,
        "{results:#?}"
    );
    assert!(results.goodput_part >= GOODPUT_PART_MIN, "{results:#?}");
}

#[test]
fn baselines_comparison() {
    let workload = Workload::new(settings(Deployment::VanDalen, 7));
    let urgent_attainment = |design| run(&workload, design).classes[0].attainment;
    let urgent_with_leases = urgent_attainment(Design::Leases);
    for design in [Design::RoundRobin, Design::LeastInFlight, Design::StrictPriority] {
        assert!(
            urgent_with_leases >= urgent_attainment(design),
            "urgent attainment is lower than with {design}"
        );
    }
}

#[test]
fn deterministic_results() {
    let settings = WorkloadSettings {
        duration: Duration::from_secs(4),
        burst_from: Duration::from_secs(1),
        ..settings(Deployment::Consortium, 8)
    };
    let results = [(), ()].map(|()| format!("{:?}", run_leases(settings.clone()).1));
    assert_eq!(results[0], results[1]);
}
