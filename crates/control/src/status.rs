//! The status that a control VM reports to operators about itself and the other members.

use std::collections::BTreeMap;

use consensus::{PeerStatus, RepairStep, Status};
use dissemination::Hub;
use serde::Serialize;

use crate::duties::DutyReport;

/// The state of a control VM.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct StatusReport {
    member: String,
    role: String,
    term: u64,
    leader: Option<String>,
    lease_left_ms: u64,
    committed_index: u64,
    applied_index: u64,
    synced_index: u64,
    voters: Vec<String>,
    learners: Vec<String>,
    peers: Vec<PeerReport>,
    next_step: String,
    revision: u64,
    /// The level of the forms that this build writes.
    level: u16,
    #[serde(flatten)]
    routers: RouterReport,
    #[serde(flatten)]
    duties: DutyReport,
}

/// The routers that exchange with this VM.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct RouterReport {
    routers: Vec<String>,
    /// How many of them write the forms of each level; builds that do not tell it have level 0.
    router_levels: BTreeMap<u16, usize>,
}

impl RouterReport {
    pub(crate) fn new(hub: &Hub) -> RouterReport {
        RouterReport {
            routers: hub.routers().map(str::to_owned).collect(),
            router_levels: hub.router_levels(),
        }
    }
}

/// Another member as known to the leader.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct PeerReport {
    member: String,
    lag_entries: u64,
    is_synced: bool,
    answer_age_ms: Option<u64>,
}

impl StatusReport {
    pub(crate) fn new(
        status: &Status,
        next_step: RepairStep,
        revision: u64,
        routers: RouterReport,
        duties: DutyReport,
    ) -> StatusReport {
        StatusReport {
            member: status.me.to_string(),
            role: status.role.to_string(),
            term: status.term.0,
            leader: status.leader.map(|it| it.to_string()),
            lease_left_ms: status.lease_left.as_millis() as u64,
            committed_index: status.commit.0,
            applied_index: status.applied.0,
            synced_index: status.saved.0,
            voters: status.members.voters.iter().map(ToString::to_string).collect(),
            learners: status.members.learners.iter().map(ToString::to_string).collect(),
            peers: status.peers.iter().map(PeerReport::new).collect(),
            next_step: next_step.to_string(),
            revision,
            level: wire_form::LEVEL,
            routers,
            duties,
        }
    }
}

impl PeerReport {
    fn new(status: &PeerStatus) -> PeerReport {
        PeerReport {
            member: status.peer.to_string(),
            lag_entries: status.lag_entries,
            is_synced: status.synced,
            answer_age_ms: status.answer_age.map(|it| it.as_millis() as u64),
        }
    }
}
