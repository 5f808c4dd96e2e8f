//! What a member tells operators about itself and, as leader, about the others.

use std::time::Duration;

use derive_more::Display;

use crate::{LogIndex, Members, Peer, Term};

/// The role of a member.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Asks whether it would win an election.
    #[display("pre-candidate")]
    PreCandidate,
    /// Stands for election.
    #[display("candidate")]
    Candidate,
    /// Leads its term; whether it may act is told by its lease.
    #[display("leader")]
    Leader,
}

/// The state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member itself.
    pub me: Peer,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader as far as it is known.
    pub leader: Option<Peer>,
    /// The last committed index that it knows.
    pub commit: LogIndex,
    /// The last index handed out for applying.
    pub applied: LogIndex,
    /// The last index of its log.
    pub last: LogIndex,
    /// The last index that is synced here.
    pub saved: LogIndex,
    /// The members by its log.
    pub members: Members,
    /// Whether the newest member list is committed.
    pub members_committed: bool,
    /// How long its lease still lasts; zero if it does not lead.
    pub lease_left: Duration,
    /// The other members, known to a leader only.
    pub peers: Vec<PeerStatus>,
}

/// The state of another member as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub peer: Peer,
    /// The last index that is known to be synced there.
    pub matched: LogIndex,
    /// How many committed entries it lacks, as far as known.
    pub lag_entries: u64,
    /// How long ago its last answer came; `None` if none came in this term.
    pub answer_age: Option<Duration>,
    /// Whether it answered within the election timeout and lacks no committed entry.
    pub synced: bool,
}
