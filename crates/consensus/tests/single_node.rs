//! One member, driven by hand: what it may say before a sync, and what it counts.

use std::time::{Duration, Instant};

use consensus::{
    Body, Campaign, ChangeError, DiskId, Entry, HardState, LogIndex, MemberChange, Members,
    Message, Node, NodeId, Payload, Peer, ProposeError, ReadError, Ready, Recovered, Role,
    Settings, Snapshot, Term,
};

const ME: Peer = Peer { node: NodeId(1), disk: DiskId(1) };
const SECOND: Peer = Peer { node: NodeId(2), disk: DiskId(2) };
const THIRD: Peer = Peer { node: NodeId(3), disk: DiskId(3) };
const THIRD_NEW_DISK: Peer = Peer { node: NodeId(3), disk: DiskId(9) };

/// A voter of three whose log has one entry after the start of the cluster.
fn node(now: Instant) -> Node {
    let entry = Entry { index: LogIndex(2), term: Term(2), payload: Payload::Empty };
    let recovered = Recovered {
        hard_state: HardState { term: Term(2), voted_for: None },
        snapshot: Snapshot::bootstrap(Members::of_voters([ME, SECOND, THIRD])),
        entries: vec![entry],
    };
    Node::new(Settings::default(), ME, recovered, now)
}

fn from(peer: Peer, term: u64, body: Body) -> Message {
    Message { from: peer, to: ME, term: Term(term), body }
}

fn vote_request(campaign: Campaign) -> Body {
    Body::Vote { last_index: LogIndex(2), last_term: Term(2), campaign }
}

/// Syncs the write that the node wants and gives what may follow.
fn sync(node: &mut Node, now: Instant) -> Ready {
    let id = node.ready().writes.expect("a write is due").id;
    node.persisted(now, id);
    node.ready()
}

/// A node that stands in term 3 with its own vote synced.
fn candidate(now: Instant) -> Node {
    let mut node = node(now);
    let now = node.next_tick();
    node.tick(now);
    node.step(now, from(SECOND, 3, Body::PreVoteReply { granted: true }));
    sync(&mut node, now);
    assert_eq!(node.status(now).role, Role::Candidate);
    node
}

#[test]
fn vote_after_sync() {
    let now = Instant::now();
    let mut node = node(now);
    node.step(now, from(SECOND, 3, vote_request(Campaign::Transfer)));
    let ready = node.ready();
    assert_eq!(ready.messages, [], "nothing is said before the sync");
    let writes = ready.writes.expect("the vote is written");
    assert_eq!(writes.hard_state.and_then(|it| it.voted_for), Some(SECOND));
    node.persisted(now, writes.id);
    let granted =
        Message { from: ME, to: SECOND, term: Term(3), body: Body::VoteReply { granted: true } };
    assert_eq!(node.ready().messages, [granted]);
}

#[test]
fn one_vote_a_term() {
    let now = Instant::now();
    let mut node = node(now);
    node.step(now, from(SECOND, 3, vote_request(Campaign::Transfer)));
    node.step(now, from(THIRD, 3, vote_request(Campaign::Transfer)));
    let ready = sync(&mut node, now);
    let granted = |it: &&Message| it.body == Body::VoteReply { granted: true };
    assert_eq!(ready.messages.iter().filter(granted).count(), 1);
}

#[test]
fn waits_after_start() {
    let now = Instant::now();
    let timeout = Settings::default().election_timeout;
    let mut node = node(now);
    let early = now + timeout - Duration::from_millis(1);
    node.step(early, from(SECOND, 3, vote_request(Campaign::ElectionTimeout)));
    assert!(node.ready().writes.is_none(), "an earlier life may have heard a leader");
    node.step(now + timeout, from(SECOND, 3, vote_request(Campaign::ElectionTimeout)));
    assert!(node.ready().writes.is_some());
}

#[test]
fn new_disk_has_no_vote() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(THIRD_NEW_DISK, 3, Body::VoteReply { granted: true }));
    assert_eq!(node.status(now).role, Role::Candidate);
    node.step(now, from(THIRD, 3, Body::VoteReply { granted: true }));
    assert_eq!(node.status(now).role, Role::Leader);
}

#[test]
fn commits_own_term_only() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(2), round: 1 }));
    assert_eq!(node.status(now).commit, LogIndex(1), "the entry of term 2 may still be replaced");
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    assert_eq!(node.status(now).commit, LogIndex(3));
}

#[test]
fn lease_from_sending() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    assert_eq!(node.read_index(now), Err(ReadError::NoLease), "no heartbeat is answered yet");
    let answered = now + Duration::from_millis(500);
    node.step(answered, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    let end = now + Settings::default().lease();
    assert!(node.read_index(end - Duration::from_millis(1)).is_ok());
    assert_eq!(node.read_index(end), Err(ReadError::NoLease));
    assert_eq!(node.propose(end, Vec::new()), Err(ProposeError::NoLease));
}

#[test]
fn no_change_before_own_commit() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(2), round: 1 }));
    let change = MemberChange::AddLearner(THIRD_NEW_DISK);
    // An earlier leader may have left another change that a majority does not know of yet.
    assert_eq!(node.change_members(now, change), Err(ChangeError::NotCaughtUp));
    assert_eq!(node.read_index(now), Err(ReadError::NotCaughtUp));
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    assert!(node.change_members(now, change).is_ok());
    assert_eq!(node.read_index(now), Ok(LogIndex(3)));
}

#[test]
fn one_write_for_many() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    node.ready();
    for _ in 0..100 {
        node.propose(now, b"command".to_vec()).expect("the lease holds");
    }
    let writes = node.ready().writes.expect("a write is due");
    assert_eq!(writes.append.len(), 100);
    node.propose(now, b"command".to_vec()).expect("the lease holds");
    assert!(node.ready().writes.is_none(), "one write at a time");
}

#[test]
fn other_disk_is_deaf() {
    let now = Instant::now();
    let mut node = node(now);
    let to = Peer { node: NodeId(1), disk: DiskId(8) };
    let body = vote_request(Campaign::Transfer);
    node.step(now, Message { from: SECOND, to, term: Term(3), body });
    assert!(node.ready().writes.is_none());
}
