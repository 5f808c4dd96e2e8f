//! Guards against commands that are accepted or not refused, and reads that fail, while there is no
//! majority.

mod support;

use control_client::CommandError;
use control_state::{ClaimAnswer, ClaimId, ClaimOrder, Command, OrderKey, Response, RouterId};
use support::{Cluster, wait_until};

/// The time of the claims, in milliseconds since 1970. It is after any time that a leader puts into the
/// log, which makes older claims expire.
const CLAIMED_AT_MS: u64 = 4_102_444_800_000;

fn claim(id: u64) -> Command {
    Command::ClaimOrder(ClaimOrder {
        order: OrderKey {
            workspace: "club".to_owned(),
            route: "restore".to_owned(),
            key: "order-1".to_owned(),
        },
        body_hash: 7,
        router: RouterId("router-1".to_owned()),
        claim: ClaimId(id),
        at_ms: CLAIMED_AT_MS,
        until_ms: u64::MAX,
    })
}

#[test]
fn claims_once() {
    let mut cluster = Cluster::start(3);
    let granted = Response::Claim(ClaimAnswer::Granted);
    let first = wait_until("an answer", || cluster.submit(1, &claim(1)).ok());
    assert_eq!(first, granted);
    let resent = wait_until("an answer", || cluster.submit(2, &claim(2)).ok());
    assert_eq!(resent, Response::Claim(ClaimAnswer::InProgress { since_ms: CLAIMED_AT_MS }));

    // The claim is kept after a change of leader.
    let leader = cluster.await_leader(&[1, 2, 3]);
    cluster.kill(leader);
    let left = if leader == 3 { 2 } else { 3 };
    let resent = wait_until("an answer", || cluster.submit(left, &claim(3)).ok());
    assert_eq!(resent, Response::Claim(ClaimAnswer::InProgress { since_ms: CLAIMED_AT_MS }));
}

#[test]
fn refused_without_majority() {
    let mut cluster = Cluster::start(3);
    cluster.propose_until_answered(1, "a", 0, 1);
    cluster.await_revision(1, 1);
    cluster.kill(2);
    cluster.kill(3);

    // Until the lease expires, a command may still enter the log and stay in doubt.
    wait_until("a refusal", || match cluster.submit(1, &claim(1)) {
        Err(CommandError::Refused { .. }) => Some(()),
        Err(CommandError::InDoubt { .. }) => None,
        Ok(answer) => panic!("{answer:?} was granted without a majority"),
    });
    let (revision, _, is_confirmed) = cluster.tables(1).expect("reads succeed without a majority");
    assert_eq!(revision, 1);
    assert!(!is_confirmed, "tables were confirmed without a majority");

    cluster.run(2);
    let answer = wait_until("an answer", || cluster.submit(1, &claim(9)).ok());
    let is_decided = matches!(answer, Response::Claim(ClaimAnswer::Granted))
        || matches!(answer, Response::Claim(ClaimAnswer::InProgress { .. }));
    assert!(is_decided, "{answer:?}");
}
