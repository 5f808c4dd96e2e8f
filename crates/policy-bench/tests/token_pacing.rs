//! Guards against pacing that misses the urgent class's inter-token target or starves the lower
//! classes in a burst whose full batches exceed that target.

use policy::Pacing;
use policy_bench::{Deployment, Design, Results, Workload, WorkloadSettings, run};

const BETWEEN_ATTAINMENT_MIN: f64 = 0.7;

fn burst(deployment: Deployment, pacing: Pacing) -> (Workload, Results) {
    let workload = Workload::new(WorkloadSettings {
        deployment,
        urgent_between_token_ms: 19,
        pacing,
        ..WorkloadSettings::default()
    });
    let results = run(&workload, Design::Leases);
    (workload, results)
}

fn check(deployment: Deployment) {
    let (_, off) = burst(deployment, Pacing::Off);
    assert!(
        off.classes[0].between_attainment < 0.5,
        "half the answers meet the target without pacing, so it is too loose: {off:#?}"
    );
    let (workload, on) = burst(deployment, Pacing::Adaptive);
    assert!(on.classes[0].between_attainment >= BETWEEN_ATTAINMENT_MIN, "{on:#?}");
    for (class, result) in workload.classes.iter().zip(&on.classes).skip(1) {
        assert!(result.share * 1e3 >= f64::from(class.share_permille), "{on:#?}");
    }
}

#[test]
fn van_dalen_pacing() {
    check(Deployment::VanDalen);
}

#[test]
fn consortium_pacing() {
    check(Deployment::Consortium);
}
