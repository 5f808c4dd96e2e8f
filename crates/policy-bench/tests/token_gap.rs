//! The urgent class's target between tokens in a burst that breaks it with full batches.

use policy::Pacing;
use policy_bench::{Design, Results, Users, Workload, WorkloadSettings, run};

const BETWEEN_ATTAINMENT: f64 = 0.7;

fn burst(users: Users, pacing: Pacing) -> (Workload, Results) {
    let workload = Workload::new(WorkloadSettings {
        users,
        urgent_between_token_ms: 19,
        pacing,
        ..WorkloadSettings::default()
    });
    let results = run(&workload, Design::Leases);
    (workload, results)
}

fn check(users: Users) {
    let (_, off) = burst(users, Pacing::Off);
    assert!(off.classes[0].between_attainment < 0.5, "the target has to be tight: {off:#?}");
    let (workload, on) = burst(users, Pacing::Adaptive);
    assert!(on.classes[0].between_attainment >= BETWEEN_ATTAINMENT, "{on:#?}");
    for (class, result) in workload.classes.iter().zip(&on.classes).skip(1) {
        assert!(result.share * 1e3 >= f64::from(class.share_permille), "{on:#?}");
    }
}

#[test]
fn van_dalen_gap() {
    check(Users::VanDalen);
}

#[test]
fn consortium_gap() {
    check(Users::Consortium);
}
