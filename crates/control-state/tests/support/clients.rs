//! Simulated operators and routers that act on the responses, with checks of the guarantees that
//! they rely on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use consensus::Proposal;
use control_state::{
    ClaimAnswer, ClaimId, ClaimOrder, Command, OrderKey, ProposeTables, Response, RouterId,
    TablesAnswer, decode_response, encode_command,
};
use tables::{Revision, TablesText};

use crate::{cluster::Cluster, machine::Machine, schedule};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// All clients of one cluster.
#[derive(Default)]
pub(crate) struct Clients {
    /// The newest revision that each operator knows.
    known_revisions: BTreeMap<u64, u64>,
    changes: Vec<Change>,
    attempts: Vec<Attempt>,
    /// The change that made each revision.
    accepted: BTreeMap<u64, String>,
    /// The highest revision that a client has received.
    acknowledged: u64,
    /// How often each order ran.
    executions: BTreeMap<u64, u64>,
    released: BTreeSet<u64>,
}

/// A change of the tables that its operator retries until it gets a response.
struct Change {
    operator: u64,
    proposal: ProposeTables,
    sent: Vec<(u64, Proposal)>,
    sent_at: Duration,
    answer: Option<TablesAnswer>,
}

/// One attempt of a router to run an order.
struct Attempt {
    key: u64,
    claim: u64,
    sent: (u64, Proposal),
    sent_at: Duration,
    state: AttemptState,
}

#[derive(PartialEq, Eq)]
enum AttemptState {
    Claiming,
    TimedOut,
    Finished,
}

impl Clients {
    /// Sends a change of an operator, based on the newest revision that it knows.
    pub(crate) fn change(&mut self, cluster: &mut Cluster<Machine>, operator: u64) {
        let number = self.changes.len();
        let base = Revision(self.known_revisions.get(&operator).copied().unwrap_or(0));
        let text = TablesText { routes: format!("text {number}"), pools: String::new() };
        let change = format!("{operator}-{number}").into();
        let proposal = ProposeTables { change, base, text };
        let sent_at = cluster.elapsed;
        let mut change = Change { operator, proposal, sent: Vec::new(), sent_at, answer: None };
        change.send(cluster);
        self.changes.push(change);
    }

    /// Lets a router claim an order.
    pub(crate) fn order(&mut self, cluster: &mut Cluster<Machine>, key: u64) {
        let claim = self.attempts.len() as u64;
        let command = Command::ClaimOrder(ClaimOrder {
            order: order_key(key),
            body_hash: 0,
            router: router(claim),
            claim: ClaimId(claim),
            at_ms: 1,
            until_ms: u64::MAX,
        });
        let Some(sent) = schedule::propose_anywhere(cluster, &encode_command(&command)) else {
            return;
        };
        let (sent_at, state) = (cluster.elapsed, AttemptState::Claiming);
        self.attempts.push(Attempt { key, claim, sent, sent_at, state });
    }

    /// Handles all responses that have arrived and checks the guarantees.
    pub(crate) fn poll(&mut self, cluster: &mut Cluster<Machine>) {
        self.check_reads(cluster);
        for idx in 0..self.changes.len() {
            self.poll_change(cluster, idx);
        }
        for idx in 0..self.attempts.len() {
            self.poll_attempt(cluster, idx);
        }
    }

    /// Checks that every change got a response after all faults ended.
    pub(crate) fn check_all_answered(&self) {
        let unanswered = self.changes.iter().filter(|it| it.answer.is_none()).count();
        assert_eq!(unanswered, 0, "changes without a response");
    }

    /// Checks that a read under the leader lease includes every change acknowledged before.
    fn check_reads(&mut self, cluster: &Cluster<Machine>) {
        for (id, host) in &cluster.hosts {
            let Some(node) = &host.node else { continue };
            let now = cluster.local_now(*id);
            let Ok(index) = node.read_index(now) else { continue };
            if host.is_frozen || node.status(now).applied < index {
                continue;
            }
            let revision = host.app.0.revision().0;
            assert!(
                revision >= self.acknowledged,
                "n{id} serves revision {revision} after revision {} was acknowledged",
                self.acknowledged
            );
            self.acknowledged = revision;
        }
    }

    fn poll_change(&mut self, cluster: &mut Cluster<Machine>, idx: usize) {
        let change = &mut self.changes[idx];
        for (at, proposal) in &change.sent {
            let Some(Response::Tables(answer)) = answer_at(cluster, *at, *proposal) else {
                continue;
            };
            let first = *change.answer.get_or_insert(answer);
            assert_eq!(first, answer, "a retry got another result than the first attempt");
        }
        match change.answer {
            None if cluster.elapsed > change.sent_at + RESPONSE_TIMEOUT => change.send(cluster),
            None => {}
            Some(TablesAnswer::Accepted { revision }) => {
                let base = change.proposal.base;
                assert_eq!(
                    revision.0,
                    base.0 + 1,
                    "a change overwrote one that its operator did not know"
                );
                let name = change.proposal.change.0.clone();
                let owner = self.accepted.entry(revision.0).or_insert_with(|| name.clone());
                assert_eq!(*owner, name, "two changes made revision {revision}");
                self.acknowledged = self.acknowledged.max(revision.0);
                self.record_revision(idx, revision.0);
            }
            Some(TablesAnswer::Conflict { current }) => self.record_revision(idx, current.0),
            Some(TablesAnswer::ChangeReused) => panic!("change ids are unique in this test"),
        }
    }

    fn record_revision(&mut self, idx: usize, revision: u64) {
        let known = self.known_revisions.entry(self.changes[idx].operator).or_default();
        *known = revision.max(*known);
    }

    fn poll_attempt(&mut self, cluster: &mut Cluster<Machine>, idx: usize) {
        let attempt = &self.attempts[idx];
        let (key, claim, order) = (attempt.key, attempt.claim, order_key(attempt.key));
        match attempt.state {
            AttemptState::Finished => {}
            AttemptState::TimedOut => {
                let release = Command::ReleaseOrder { order, claim: ClaimId(claim) };
                if self.released.insert(claim) || cluster.elapsed.as_millis().is_multiple_of(7) {
                    schedule::propose_anywhere(cluster, &encode_command(&release));
                }
            }
            AttemptState::Claiming => match answer_at(cluster, attempt.sent.0, attempt.sent.1) {
                Some(Response::Claim(ClaimAnswer::Granted)) => {
                    self.execute(key);
                    let report = outcome_report(order, claim);
                    schedule::propose_anywhere(cluster, &encode_command(&report));
                    self.attempts[idx].state = AttemptState::Finished;
                }
                Some(_) => self.attempts[idx].state = AttemptState::Finished,
                None if cluster.elapsed > attempt.sent_at + RESPONSE_TIMEOUT => {
                    self.attempts[idx].state = AttemptState::TimedOut;
                }
                None => {}
            },
        }
    }

    fn execute(&mut self, key: u64) {
        let count = self.executions.entry(key).or_default();
        *count += 1;
        assert_eq!(*count, 1, "order {key} ran twice");
    }
}

impl Change {
    fn send(&mut self, cluster: &mut Cluster<Machine>) {
        self.sent_at = cluster.elapsed;
        let command = Command::ProposeTables(self.proposal.clone());
        self.sent.extend(schedule::propose_anywhere(cluster, &encode_command(&command)));
    }
}

/// The report on an order that ran: its answer, an unknown outcome, or the end of the router.
fn outcome_report(order: OrderKey, claim: u64) -> Command {
    match claim % 3 {
        0 => Command::CompleteOrder { order, claim: ClaimId(claim), answer: b"done".to_vec() },
        1 => Command::MarkOrderInDoubt { order, claim: ClaimId(claim) },
        _ => Command::RouterGone { router: router(claim) },
    }
}

fn router(claim: u64) -> RouterId {
    RouterId(format!("router {claim}"))
}

fn answer_at(cluster: &Cluster<Machine>, at: u64, proposal: Proposal) -> Option<Response> {
    let bytes = cluster.response(at, proposal)?.ok()?;
    decode_response(&bytes).ok()
}

fn order_key(key: u64) -> OrderKey {
    let (workspace, route) = ("w".to_owned(), "orders".to_owned());
    OrderKey { workspace, route, key: key.to_string() }
}
