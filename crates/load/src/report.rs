//! The report of a run, computed from the request records and the counts of the stand-ins.

mod class;
mod faults;
mod latency;
mod plot;
mod table;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

pub use class::{Attainment, ClassReport};
pub use faults::{Fault, FaultKind};
pub use latency::{CurvePoint, LatencySummary};
pub use plot::{PlotFault, latency_svg};
pub use table::table;

use crate::{
    plan::{Attempt, ClassSettings},
    record::{Ending, Outcome, RequestRecord},
};

/// The counts of the stand-ins for a run. A count is missing if no stand-in that provides it was
/// read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct StandinCounts {
    /// The number of starts of each chat request by its request id.
    pub starts_by_request: Option<BTreeMap<String, u64>>,
    /// The number of executions of each order by its idempotency key.
    pub executions_by_key: Option<BTreeMap<String, u64>>,
    /// Tokens that the engines generated.
    pub tokens_generated: Option<u64>,
}

/// The number of replies with one outcome and ending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReplyCount {
    /// What the router reported about the execution.
    pub outcome: Outcome,
    /// `answered`, `failed 503`, `broken` or `timed-out`.
    pub ending: String,
    /// The number of such replies.
    pub count: u64,
}

/// Tokens that were generated but not delivered in a whole, correct answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WastedWork {
    /// Tokens that the engines generated.
    pub tokens_generated: u64,
    /// Tokens of whole, correct answers.
    pub tokens_good: u64,
    /// The wasted share of the generated tokens in thousandths.
    pub wasted_permille: u64,
}

/// The kinds of requests whose outcome "not run" was verified against the stand-ins' counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NotRunChecks {
    /// Whether chat requests were verified.
    pub chats: bool,
    /// Whether orders were verified.
    pub orders: bool,
}

/// The results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Report {
    /// The length of the run in milliseconds.
    pub duration_ms: u64,
    /// Requests sent, including resends.
    pub requests: u64,
    /// Whole, correct answers per second that met every target of their class, without resends.
    pub goodput_per_s: f64,
    /// Tokens per second in whole, correct answers.
    pub good_tokens_per_s: f64,
    /// The longest delay between a planned and an actual send time in microseconds. It shows
    /// whether the load tool itself was too slow.
    pub send_lag_max_us: u64,
    /// The results of each class, in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// The replies by outcome and ending.
    pub replies: Vec<ReplyCount>,
    /// The wasted work, if the stand-ins' counts are known.
    pub wasted: Option<WastedWork>,
    /// The kinds of requests for which the outcome "not run" was verified.
    #[serde(rename = "not-run-proof")]
    pub not_run_checks: NotRunChecks,
    /// The violated guarantees, found from records and counts.
    pub faults: Vec<Fault>,
}

impl Report {
    /// Computes the report of a run that took `duration`.
    pub fn new(
        classes: &[ClassSettings],
        records: &[RequestRecord],
        counts: &StandinCounts,
        duration: Duration,
    ) -> Report {
        let classes = class::reports(classes, records);
        let met: u64 = classes.iter().map(|it| it.attainment.met).sum();
        let tokens_good = tokens_good(records);
        Report {
            duration_ms: duration.as_millis() as u64,
            requests: records.len() as u64,
            goodput_per_s: per_second(met, duration),
            good_tokens_per_s: per_second(tokens_good, duration),
            send_lag_max_us: records.iter().map(|it| it.send_lag_us).max().unwrap_or_default(),
            classes,
            replies: reply_counts(records),
            wasted: counts.tokens_generated.map(|it| wasted(it, tokens_good)),
            not_run_checks: not_run_checks(counts),
            faults: faults::find(records, counts),
        }
    }

    /// Whether no violated guarantee was found.
    pub fn is_faultless(&self) -> bool {
        self.faults.is_empty()
    }
}

fn tokens_good(records: &[RequestRecord]) -> u64 {
    let good = records.iter().filter(|it| it.is_good());
    good.map(|it| u64::from(it.tokens)).sum()
}

fn wasted(tokens_generated: u64, tokens_good: u64) -> WastedWork {
    let wasted = tokens_generated.saturating_sub(tokens_good);
    let wasted_permille = permille(wasted, tokens_generated);
    WastedWork { tokens_generated, tokens_good, wasted_permille }
}

fn not_run_checks(counts: &StandinCounts) -> NotRunChecks {
    NotRunChecks {
        chats: counts.starts_by_request.is_some(),
        orders: counts.executions_by_key.is_some(),
    }
}

fn reply_counts(records: &[RequestRecord]) -> Vec<ReplyCount> {
    let mut counts: BTreeMap<(String, String), ReplyCount> = BTreeMap::new();
    for record in records {
        let ending = ending_name(&record.ending);
        let key = (record.outcome.to_string(), ending.clone());
        let empty = ReplyCount { outcome: record.outcome, ending, count: 0 };
        counts.entry(key).or_insert(empty).count += 1;
    }
    counts.into_values().collect()
}

fn ending_name(ending: &Ending) -> String {
    match ending {
        Ending::Answered => "answered".to_owned(),
        Ending::Failed(status) => format!("failed {status}"),
        Ending::Broken(_) => "broken".to_owned(),
        Ending::TimedOut => "timed-out".to_owned(),
    }
}

fn is_first(record: &RequestRecord) -> bool {
    record.attempt == Attempt::First
}

fn per_second(count: u64, duration: Duration) -> f64 {
    let seconds = duration.as_secs_f64();
    if seconds > 0.0 { (count as f64 / seconds * 1_000.0).round() / 1_000.0 } else { 0.0 }
}

/// `part` as a share of `whole` in thousandths; 0 if `whole` is 0.
fn permille(part: u64, whole: u64) -> u64 {
    (part * 1_000).checked_div(whole).unwrap_or_default()
}
