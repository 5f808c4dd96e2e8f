//! The choice of the next membership change. Guards against a voter that is gone but keeps its vote
//! while a synced learner waits, so that the next loss leaves no majority.

use std::{collections::BTreeSet, time::Duration};

use consensus::{
    DiskId, LogIndex, MemberChange, Members, NodeId, Peer, PeerStatus, RepairInput, RepairStep,
    Role, Status, Term, next_repair_step,
};

const VOTER_TIMEOUT: Duration = Duration::from_millis(400);
const RECENT: Option<Duration> = Some(Duration::from_millis(10));

fn peer(node: u64) -> Peer {
    Peer { node: NodeId(node), disk: DiskId(node) }
}

/// The status of leader 1; each other member comes with the age of its last answer.
fn status(voters: &[(u64, Option<Duration>)], learners: &[(u64, Option<Duration>)]) -> Status {
    let answered = |(node, answer_age): &(u64, Option<Duration>)| PeerStatus {
        peer: peer(*node),
        matched: LogIndex(9),
        lag_entries: 0,
        answer_age: *answer_age,
        synced: answer_age.is_some_and(|it| it < VOTER_TIMEOUT / 2),
    };
    let nodes = |set: &[(u64, Option<Duration>)]| set.iter().map(|it| peer(it.0)).collect();
    let mut members = Members { voters: nodes(voters), learners: nodes(learners) };
    members.voters.insert(peer(1));
    Status {
        me: peer(1),
        role: Role::Leader,
        term: Term(3),
        leader: Some(peer(1)),
        commit: LogIndex(9),
        applied: LogIndex(9),
        last: LogIndex(9),
        saved: LogIndex(9),
        members,
        members_committed: true,
        lease_left: Duration::from_millis(100),
        peers: voters.iter().chain(learners).map(answered).collect(),
    }
}

fn input(status: &Status) -> RepairInput {
    RepairInput {
        running: status.members.all().collect(),
        voters_max: 3,
        leading_for: VOTER_TIMEOUT,
        voter_timeout: VOTER_TIMEOUT,
        ..RepairInput::default()
    }
}

fn promote(node: u64) -> RepairStep {
    RepairStep::Change(MemberChange::Promote(peer(node)))
}

fn remove(node: u64) -> RepairStep {
    RepairStep::Change(MemberChange::Remove(peer(node)))
}

#[test]
fn silent_voter() {
    let before = status(&[(2, RECENT), (3, Some(VOTER_TIMEOUT))], &[(4, RECENT)]);
    assert_eq!(next_repair_step(&before, &input(&before)), promote(4));
    let after = status(&[(2, RECENT), (3, Some(VOTER_TIMEOUT)), (4, RECENT)], &[]);
    assert_eq!(next_repair_step(&after, &input(&after)), remove(3));
}

#[test]
fn silent_since_election() {
    let status = status(&[(2, RECENT), (3, None)], &[(4, RECENT)]);
    assert_eq!(next_repair_step(&status, &input(&status)), promote(4));
    let leading_for = VOTER_TIMEOUT / 2;
    let new_leader = RepairInput { leading_for, ..input(&status) };
    assert_eq!(next_repair_step(&status, &new_leader), RepairStep::AwaitSync(peer(3)));
}

#[test]
fn leaving_voter() {
    let before = status(&[(2, RECENT), (3, RECENT)], &[(4, RECENT)]);
    let leaving = BTreeSet::from([peer(3)]);
    assert_eq!(next_repair_step(&before, &input(&before)), RepairStep::Finished);
    let asked = RepairInput { leaving: leaving.clone(), ..input(&before) };
    assert_eq!(next_repair_step(&before, &asked), promote(4));
    let after = status(&[(2, RECENT), (3, RECENT), (4, RECENT)], &[]);
    let asked = RepairInput { leaving: leaving.clone(), ..input(&after) };
    assert_eq!(next_repair_step(&after, &asked), remove(3));
    // The member still runs, but is not added again.
    let gone = status(&[(2, RECENT), (4, RECENT)], &[]);
    let running = (1..=4).map(peer).collect();
    let asked = RepairInput { leaving, running, ..input(&gone) };
    assert_eq!(next_repair_step(&gone, &asked), RepairStep::Finished);
}

#[test]
fn slow_learner_beside_synced() {
    let status = status(&[(2, RECENT), (5, Some(VOTER_TIMEOUT))], &[(3, None), (4, RECENT)]);
    assert_eq!(next_repair_step(&status, &input(&status)), promote(4));
}

#[test]
fn voter_back_in_time() {
    let status = status(&[(2, RECENT), (3, RECENT), (4, RECENT)], &[]);
    assert_eq!(next_repair_step(&status, &input(&status)), remove(4));
}

#[test]
fn no_majority_with_learner() {
    let silent = Some(VOTER_TIMEOUT);
    let status = status(&[(2, RECENT), (3, silent), (5, silent), (6, silent)], &[(4, RECENT)]);
    let input = RepairInput { voters_max: 5, ..input(&status) };
    assert_eq!(next_repair_step(&status, &input), RepairStep::AwaitSync(peer(3)));
}

#[test]
fn odd_number_above_limit() {
    let status = status(&[(2, RECENT), (3, RECENT)], &[]);
    let input = RepairInput { voters_max: 1, ..input(&status) };
    assert_eq!(next_repair_step(&status, &input), RepairStep::Finished);
}
