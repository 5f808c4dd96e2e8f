//! A single node driven call by call: what it sends before a sync, and which votes, answers and
//! leases it counts.

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

/// One of three voters, whose log holds one entry after the bootstrap snapshot.
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

/// Reports the node's next write as synced and returns the work that follows.
fn sync(node: &mut Node, now: Instant) -> Ready {
    let id = node.ready().writes.expect("a write is pending").id;
    node.persisted(now, id);
    node.ready()
}

/// A candidate in term 3 whose vote for itself is synced.
fn candidate(now: Instant) -> Node {
    let mut node = node(now);
    let now = node.next_tick();
    node.tick(now);
    node.step(now, from(SECOND, 3, Body::PreVoteReply { granted: true }));
    sync(&mut node, now);
    assert_eq!(node.status(now).role, Role::Candidate);
    node
}

/// A vote that is sent before it is synced could be given again to another candidate after a crash.
#[test]
fn vote_after_sync() {
    let now = Instant::now();
    let mut node = node(now);
    node.step(now, from(SECOND, 3, vote_request(Campaign::Transfer)));
    let ready = node.ready();
    assert_eq!(ready.messages, [], "a vote must not be sent before it is synced");
    let writes = ready.writes.expect("the vote is to be written");
    assert_eq!(writes.hard_state.and_then(|it| it.voted_for), Some(SECOND));
    node.persisted(now, writes.id);
    let granted =
        Message { from: ME, to: SECOND, term: Term(3), body: Body::VoteReply { granted: true } };
    assert_eq!(node.ready().messages, [granted]);
}

/// Two votes in one term could elect two leaders.
#[test]
fn one_vote_per_term() {
    let now = Instant::now();
    let mut node = node(now);
    node.step(now, from(SECOND, 3, vote_request(Campaign::Transfer)));
    node.step(now, from(THIRD, 3, vote_request(Campaign::Transfer)));
    let ready = sync(&mut node, now);
    let granted = |it: &&Message| it.body == Body::VoteReply { granted: true };
    assert_eq!(ready.messages.iter().filter(granted).count(), 1);
}

/// A vote within the election timeout after a start could end the lease of a leader that this node
/// has answered before the restart.
#[test]
fn no_vote_after_start() {
    let now = Instant::now();
    let timeout = Settings::default().election_timeout;
    let mut node = node(now);
    let early = now + timeout - Duration::from_millis(1);
    node.step(early, from(SECOND, 3, vote_request(Campaign::ElectionTimeout)));
    assert!(
        node.ready().writes.is_none(),
        "the node may have answered a leader just before its restart"
    );
    node.step(now + timeout, from(SECOND, 3, vote_request(Campaign::ElectionTimeout)));
    assert!(node.ready().writes.is_some());
}

/// A node whose disk was replaced may have forgotten a vote, so only its old identity is a voter.
#[test]
fn vote_of_new_disk() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(THIRD_NEW_DISK, 3, Body::VoteReply { granted: true }));
    assert_eq!(node.status(now).role, Role::Candidate);
    node.step(now, from(THIRD, 3, Body::VoteReply { granted: true }));
    assert_eq!(node.status(now).role, Role::Leader);
}

/// An entry of an earlier term must not be committed by counting its replicas.
#[test]
fn commits_own_term_only() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(2), round: 1 }));
    assert_eq!(
        node.status(now).commit,
        LogIndex(1),
        "an entry of the earlier term 2 may still be replaced"
    );
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    assert_eq!(node.status(now).commit, LogIndex(3));
}

/// A lease that counted from the receipt of the answers could outlast the voters' timeouts.
#[test]
fn lease_start() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    assert_eq!(
        node.read_index(now),
        Err(ReadError::NoLease),
        "a majority has not answered a heartbeat yet"
    );
    let answered_at = now + Duration::from_millis(500);
    node.step(answered_at, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    let end = now + Settings::default().lease();
    assert!(node.read_index(end - Duration::from_millis(1)).is_ok());
    assert_eq!(node.read_index(end), Err(ReadError::NoLease));
    assert_eq!(node.propose(end, Vec::new()), Err(ProposeError::NoLease));
}

/// A leader that has not committed an entry of its term does not know what is committed.
#[test]
fn change_before_own_commit() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(2), round: 1 }));
    let change = MemberChange::AddLearner(THIRD_NEW_DISK);
    // An earlier leader may have appended another change that a majority does not hold yet.
    assert_eq!(node.change_members(now, change), Err(ChangeError::NotCaughtUp));
    assert_eq!(node.read_index(now), Err(ReadError::NotCaughtUp));
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    assert!(node.change_members(now, change).is_ok());
    assert_eq!(node.read_index(now), Ok(LogIndex(3)));
}

/// Proposals between two calls of `ready` share one write, and the next write waits for its sync.
#[test]
fn batched_proposals() {
    let now = Instant::now();
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    node.ready();
    for _ in 0..100 {
        node.propose(now, b"command".to_vec()).expect("the lease holds");
    }
    let writes = node.ready().writes.expect("a write is pending");
    assert_eq!(writes.append.len(), 100);
    node.propose(now, b"command".to_vec()).expect("the lease holds");
    assert!(node.ready().writes.is_none(), "only one write may be in flight");
}

/// A message to the same node under another disk must not reach this one.
#[test]
fn message_for_other_disk() {
    let now = Instant::now();
    let mut node = node(now);
    let to = Peer { node: NodeId(1), disk: DiskId(8) };
    let body = vote_request(Campaign::Transfer);
    node.step(now, Message { from: SECOND, to, term: Term(3), body });
    assert!(node.ready().writes.is_none());
}

/// The leader of term 3 with a committed entry of its own and nothing left to write.
fn leader(now: Instant) -> Node {
    let mut node = candidate(now);
    node.step(now, from(SECOND, 3, Body::VoteReply { granted: true }));
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(3), round: 1 }));
    node.ready();
    node
}

/// A leader whose commands are not committed would keep all of them in memory.
#[test]
fn full_log() {
    let now = Instant::now();
    let mut node = leader(now);
    let command = vec![1; 1024 * 1024];
    let accepted = (0..64).take_while(|_| node.propose(now, command.clone()).is_ok()).count();
    assert_eq!(accepted, 32, "the limit is 32 MiB");
    assert_eq!(node.propose(now, command), Err(ProposeError::LogFull));

    let last = LogIndex(3 + accepted as u64);
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: last, round: 1 }));
    node.ready();
    node.compact(last, b"state".to_vec());
    assert!(node.propose(now, Vec::new()).is_ok());
}

/// Entries that are kept for lagging members are few if they are large.
#[test]
fn kept_bytes() {
    let now = Instant::now();
    let mut node = leader(now);
    for _ in 0..20 {
        node.propose(now, vec![1; 300 * 1024]).expect("the lease holds");
    }
    sync(&mut node, now);
    node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(23), round: 1 }));
    node.ready();
    node.compact(LogIndex(23), b"state".to_vec());
    let writes = node.ready().writes.expect("a snapshot is saved");
    assert_eq!(writes.compact_to, Some(LogIndex(20)), "3 entries of 300 KiB fit into 1 MiB");
}

/// A leader with a stalled disk cannot apply what the others commit, so nothing is answered while it
/// leads.
#[test]
fn stalled_disk() {
    let start = Instant::now();
    let mut node = leader(start);
    node.propose(start, Vec::new()).expect("the lease holds");
    let stalled = node.ready().writes.expect("the entry is written").id;
    let mut now = start;
    let mut round = 1;
    while now < start + Settings::default().election_timeout * 6 {
        now += Settings::default().heartbeat_interval;
        round += 1;
        node.tick(now);
        node.step(now, from(SECOND, 3, Body::Appended { matched: LogIndex(4), round }));
        node.ready();
    }
    assert_eq!(node.status(now).role, Role::Follower);
    // It does not campaign either until the write is finished.
    now += Settings::default().election_timeout * 3;
    node.tick(now);
    assert_eq!(node.status(now).role, Role::Follower);
    node.persisted(now, stalled);
    now += Settings::default().election_timeout * 3;
    node.tick(now);
    now += Settings::default().election_timeout * 3;
    node.tick(now);
    assert_eq!(node.status(now).role, Role::PreCandidate);
}
