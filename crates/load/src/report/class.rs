//! The part of the report about one class.

use serde::{Deserialize, Serialize};

use super::{LatencySummary, is_first, permille};
use crate::{
    plan::{ClassIdx, ClassSettings, LatencyTarget},
    record::{Ending, RequestRecord},
};

/// How many requests met their targets. Resends are not counted; a failed request meets no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Attainment {
    /// First attempts.
    pub sent: u64,
    /// First attempts that met every target of the class.
    pub met: u64,
    /// The share that met every target, in thousandths.
    pub met_permille: u64,
    /// The share that met the target for the first token, in thousandths.
    pub first_token_permille: Option<u64>,
    /// The share that met the target between tokens, in thousandths.
    pub between_tokens_permille: Option<u64>,
    /// The share that met the target for the whole answer, in thousandths.
    pub whole_permille: Option<u64>,
}

/// The results of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClassReport {
    /// The name of the class.
    pub name: String,
    /// The latency targets.
    pub target: LatencyTarget,
    /// Requests sent, including resends.
    pub requests: u64,
    /// Whole, correct answers.
    pub good: u64,
    /// Explicit refusals and failures.
    pub failed: u64,
    /// Broken connections and timeouts.
    pub lost: u64,
    /// How many requests met the targets.
    pub attainment: Attainment,
    /// Times to the first token.
    pub first_token: LatencySummary,
    /// Mean times between tokens.
    pub between_tokens: LatencySummary,
    /// Times to the end of the answer.
    pub whole: LatencySummary,
}

pub(super) fn reports(classes: &[ClassSettings], records: &[RequestRecord]) -> Vec<ClassReport> {
    let indexed = classes.iter().enumerate();
    indexed.map(|(idx, class)| report(class, &records_of_class(records, ClassIdx(idx)))).collect()
}

fn records_of_class(records: &[RequestRecord], class: ClassIdx) -> Vec<&RequestRecord> {
    records.iter().filter(|it| it.class == class).collect()
}

fn report(class: &ClassSettings, records: &[&RequestRecord]) -> ClassReport {
    let count = |accepts: fn(&RequestRecord) -> bool| {
        records.iter().filter(|it| accepts(it)).count() as u64
    };
    let good = || records.iter().filter(|it| it.is_good());
    ClassReport {
        name: class.name.clone(),
        target: class.target,
        requests: records.len() as u64,
        good: count(RequestRecord::is_good),
        failed: count(|it| matches!(it.ending, Ending::Failed(_))),
        lost: count(|it| matches!(it.ending, Ending::Broken(_) | Ending::TimedOut)),
        attainment: attainment(&class.target, records),
        first_token: LatencySummary::new(good().filter_map(|it| it.first_token())),
        between_tokens: LatencySummary::new(good().filter_map(|it| it.between_tokens())),
        whole: LatencySummary::new(good().filter_map(|it| it.whole())),
    }
}

fn attainment(target: &LatencyTarget, records: &[&RequestRecord]) -> Attainment {
    let first: Vec<_> = records.iter().filter(|it| is_first(it)).collect();
    let sent = first.len() as u64;
    let count = |accepts: fn(&LatencyTarget, &RequestRecord) -> bool| {
        first.iter().filter(|it| it.is_good() && accepts(target, it)).count() as u64
    };
    let met = count(|target, it| {
        meets_first_token(target, it) && meets_between_tokens(target, it) && meets_whole(target, it)
    });
    let met_share = |limit: Option<u64>, accepts| limit.map(|_| permille(count(accepts), sent));
    Attainment {
        sent,
        met,
        met_permille: permille(met, sent),
        first_token_permille: met_share(target.first_token_ms, meets_first_token),
        between_tokens_permille: met_share(target.between_tokens_ms, meets_between_tokens),
        whole_permille: met_share(target.whole_ms, meets_whole),
    }
}

fn meets_first_token(target: &LatencyTarget, record: &RequestRecord) -> bool {
    let Some(limit_ms) = target.first_token_ms else { return true };
    record.first_token_us.is_some_and(|it| it <= limit_ms * 1_000)
}

fn meets_between_tokens(target: &LatencyTarget, record: &RequestRecord) -> bool {
    let Some(limit_ms) = target.between_tokens_ms else { return true };
    // An answer of one token has no time between tokens and therefore meets the target.
    record.between_tokens().is_none_or(|it| it.as_micros() <= u128::from(limit_ms) * 1_000)
}

fn meets_whole(target: &LatencyTarget, record: &RequestRecord) -> bool {
    let Some(limit_ms) = target.whole_ms else { return true };
    record.whole_us.is_some_and(|it| it <= limit_ms * 1_000)
}
