//! Checks the guarantees given to operators and routers under random faults and concurrent
//! requests.

#[path = "support/clients.rs"]
mod clients;
#[path = "../../consensus/tests/support/cluster.rs"]
mod cluster;
#[path = "../../consensus/tests/support/history.rs"]
mod history;
#[path = "support/machine.rs"]
mod machine;
#[path = "../../consensus/tests/support/schedule.rs"]
mod schedule;

use std::time::Duration;

use clients::Clients;
use cluster::Cluster;
use machine::Machine;
use proptest::prelude::*;
use schedule::Event;

const STEPS_MAX: usize = 80;
const STEP_INTERVAL: Duration = Duration::from_millis(30);

#[derive(Debug, Clone)]
enum Step {
    Change(u64),
    Order(u64),
    Fault(Event),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..2_u64).prop_map(Step::Change),
        2 => (0..4_u64).prop_map(Step::Order),
        4 => schedule::event().prop_map(Step::Fault),
    ]
}

proptest! {
    #![proptest_config(schedule::config())]

    #[test]
    fn client_guarantees(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..STEPS_MAX),
    ) {
        check_schedule(seed, &steps);
    }
}

fn check_schedule(seed: u64, steps: &[Step]) {
    let mut cluster: Cluster<Machine> = Cluster::new(3, seed);
    cluster.elect_n1();
    let mut clients = Clients::default();
    for step in steps {
        match step {
            Step::Change(operator) => clients.change(&mut cluster, *operator),
            Step::Order(key) => clients.order(&mut cluster, *key),
            Step::Fault(event) => schedule::inject(&mut cluster, event),
        }
        cluster.run(STEP_INTERVAL);
        clients.poll(&mut cluster);
    }
    schedule::recover_cluster(&mut cluster);
    for _ in 0..20 {
        clients.poll(&mut cluster);
        cluster.run(STEP_INTERVAL);
    }
    clients.poll(&mut cluster);
    clients.check_all_answered();
}
