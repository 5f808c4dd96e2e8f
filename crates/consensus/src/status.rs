//! The status of a member and, if it is the leader, of the other members.

use std::time::Duration;

use derive_more::Display;

use crate::{LogIndex, Members, Peer, Term};

/// The role of a member.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for an election.
    #[display("follower")]
    Follower,
    /// Collects pre-votes to find out whether it would win an election.
    #[display("pre-candidate")]
    PreCandidate,
    /// Collects votes in an election.
    #[display("candidate")]
    Candidate,
    /// Has won the election of its term; it may serve only while it holds the lease.
    #[display("leader")]
    Leader,
}

/// The status of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member itself.
    pub me: Peer,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader, if it is known.
    pub leader: Option<Peer>,
    /// The last index that it knows to be committed.
    pub commit: LogIndex,
    /// The last index that was returned to the caller for applying.
    pub applied: LogIndex,
    /// The last index of its log.
    pub last: LogIndex,
    /// The last index that is synced to its disk.
    pub saved: LogIndex,
    /// The newest member list in its log, which may not be committed yet.
    pub members: Members,
    /// Whether the newest member list is committed.
    pub members_committed: bool,
    /// The remaining time of its lease; zero if it holds none.
    pub lease_left: Duration,
    /// The other members; empty unless this member is the leader.
    pub peers: Vec<PeerStatus>,
}

/// The status of another member as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub peer: Peer,
    /// The last index that is known to be synced on its disk.
    pub matched: LogIndex,
    /// How many committed entries it is not known to have synced.
    pub lag_entries: u64,
    /// The time since its last answer; `None` if it has not answered in this term.
    pub answer_age: Option<Duration>,
    /// Whether it answered within the election timeout and lacks no committed entry.
    pub synced: bool,
}
