//! Promises seen broken: by the callers alone, or by them and the counts of the stand-ins.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Evidence;
use crate::{
    answer_check::AnswerFault,
    plan::{ArrivalId, RequestKind},
    record::{Ending, Outcome, RequestRecord},
};

/// The kind of a broken promise.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An answer given as whole is not the one that the request must have.
    #[display("answer {_0}")]
    Answer(AnswerFault),
    /// A reply names no outcome.
    #[display("outcome unstated")]
    OutcomeUnstated,
    /// A request reported as not run was started by a stand-in.
    #[display("false not-run")]
    FalseNotRun,
    /// An order reported as run was executed nowhere.
    #[display("false ran")]
    FalseRan,
    /// An order was executed more than once.
    #[display("order repeated")]
    OrderRepeated,
}

/// A broken promise and the arrival that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// What was broken.
    pub kind: FaultKind,
    /// The arrival that shows it.
    pub arrival: ArrivalId,
    /// The request id or the idempotency key, to find it in the logs.
    pub subject: String,
}

pub(super) fn find(records: &[RequestRecord], evidence: &Evidence) -> Vec<Fault> {
    let mut faults: Vec<Fault> = records.iter().filter_map(seen_by_caller).collect();
    faults.extend(records.iter().filter_map(|it| false_not_run(it, evidence)));
    faults.extend(orders(records).values().filter_map(|it| order_fault(it, evidence)));
    faults.sort_by_key(|it| (it.arrival, it.kind));
    faults
}

fn seen_by_caller(record: &RequestRecord) -> Option<Fault> {
    if let Some(fault) = record.answer_fault {
        return Some(request_fault(FaultKind::Answer(fault), record));
    }
    let replied = matches!(record.ending, Ending::Answered | Ending::Failed(_));
    let unstated = replied && record.outcome == Outcome::Unstated;
    unstated.then(|| request_fault(FaultKind::OutcomeUnstated, record))
}

fn false_not_run(record: &RequestRecord, evidence: &Evidence) -> Option<Fault> {
    let starts = evidence.starts_by_request.as_ref()?.get(&record.request_id).copied()?;
    let is_false = record.outcome == Outcome::NotRun && starts > 0;
    is_false.then(|| request_fault(FaultKind::FalseNotRun, record))
}

fn request_fault(kind: FaultKind, record: &RequestRecord) -> Fault {
    Fault { kind, arrival: record.arrival, subject: record.request_id.clone() }
}

/// All sendings of each order by its key.
fn orders(records: &[RequestRecord]) -> BTreeMap<&str, Vec<&RequestRecord>> {
    let mut orders: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records.iter().filter(|it| it.kind == RequestKind::Order) {
        if let Some(key) = &record.idempotency_key {
            orders.entry(key).or_default().push(record);
        }
    }
    orders
}

fn order_fault(sendings: &[&RequestRecord], evidence: &Evidence) -> Option<Fault> {
    let first = sendings.first()?;
    let key = first.idempotency_key.as_ref()?;
    let executions = evidence.executions_by_key.as_ref()?.get(key).copied().unwrap_or_default();
    let all_not_run = sendings.iter().all(|it| it.outcome == Outcome::NotRun);
    let any_ran = sendings.iter().any(|it| it.outcome == Outcome::Ran);
    let kind = match executions {
        0 if any_ran => FaultKind::FalseRan,
        0 => return None,
        1 if all_not_run => FaultKind::FalseNotRun,
        1 => return None,
        _ => FaultKind::OrderRepeated,
    };
    Some(Fault { kind, arrival: first.arrival, subject: key.clone() })
}
