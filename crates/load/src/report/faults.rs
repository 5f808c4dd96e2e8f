//! Finds violated guarantees, from the request records alone or together with the counts of the
//! stand-ins.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::StandinCounts;
use crate::{
    answer_check::AnswerFault,
    plan::{ArrivalId, RequestKind},
    record::{Ending, Outcome, RequestRecord},
};

/// The kind of a violated guarantee.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The received answer differs from the expected one.
    #[display("answer {_0}")]
    Answer(AnswerFault),
    /// A reply has no outcome.
    #[display("outcome unstated")]
    OutcomeUnstated,
    /// A request reported as not run was started or executed by a stand-in.
    #[display("false not-run")]
    FalseNotRun,
    /// An order reported as run was not executed.
    #[display("false ran")]
    FalseRan,
    /// An order was executed more than once.
    #[display("order repeated")]
    OrderRepeated,
}

/// A violated guarantee and the arrival that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The arrival that shows it.
    pub arrival: ArrivalId,
    /// The request id or the idempotency key, for searching the logs.
    pub subject: String,
}

pub(super) fn find(records: &[RequestRecord], counts: &StandinCounts) -> Vec<Fault> {
    let mut faults: Vec<Fault> = records.iter().filter_map(caller_fault).collect();
    faults.extend(records.iter().filter_map(|it| false_not_run(it, counts)));
    faults.extend(records_by_order(records).values().filter_map(|it| order_fault(it, counts)));
    faults.sort_by_key(|it| (it.arrival, it.kind));
    faults
}

fn caller_fault(record: &RequestRecord) -> Option<Fault> {
    if let Some(fault) = record.answer_fault {
        return Some(request_fault(FaultKind::Answer(fault), record));
    }
    let has_reply = matches!(record.ending, Ending::Answered | Ending::Failed(_));
    let is_unstated = has_reply && record.outcome == Outcome::Unstated;
    is_unstated.then(|| request_fault(FaultKind::OutcomeUnstated, record))
}

fn false_not_run(record: &RequestRecord, counts: &StandinCounts) -> Option<Fault> {
    let starts = counts.starts_by_request.as_ref()?.get(&record.request_id).copied()?;
    let is_false = record.outcome == Outcome::NotRun && starts > 0;
    is_false.then(|| request_fault(FaultKind::FalseNotRun, record))
}

fn request_fault(kind: FaultKind, record: &RequestRecord) -> Fault {
    Fault { kind, arrival: record.arrival, subject: record.request_id.clone() }
}

/// The records of each order by its key, with those of resends.
fn records_by_order(records: &[RequestRecord]) -> BTreeMap<&str, Vec<&RequestRecord>> {
    let mut records_by_order: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records.iter().filter(|it| it.kind == RequestKind::Order) {
        if let Some(key) = &record.idempotency_key {
            records_by_order.entry(key).or_default().push(record);
        }
    }
    records_by_order
}

fn order_fault(records: &[&RequestRecord], counts: &StandinCounts) -> Option<Fault> {
    let first = records.first()?;
    let key = first.idempotency_key.as_ref()?;
    let executions = counts.executions_by_key.as_ref()?.get(key).copied().unwrap_or_default();
    let all_not_run = records.iter().all(|it| it.outcome == Outcome::NotRun);
    let any_ran = records.iter().any(|it| it.outcome == Outcome::Ran);
    let kind = match executions {
        0 if any_ran => FaultKind::FalseRan,
        0 => return None,
        1 if all_not_run => FaultKind::FalseNotRun,
        1 => return None,
        _ => FaultKind::OrderRepeated,
    };
    Some(Fault { kind, arrival: first.arrival, subject: key.clone() })
}
