//! The report of a run, worked out from the records of its callers and the counts of the
//! stand-ins.

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
    plan::{ClassSettings, Sending},
    record::{Ending, Outcome, RequestRecord},
};

/// What the stand-ins counted during the run; missing where none was asked or none counts it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Evidence {
    /// How often each chat request was started, by its request id.
    pub starts_by_request: Option<BTreeMap<String, u64>>,
    /// How often each order was executed, by its idempotency key.
    pub executions_by_key: Option<BTreeMap<String, u64>>,
    /// Tokens that the engines generated.
    pub tokens_generated: Option<u64>,
}

/// The replies of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReplyCount {
    /// What the router said about the execution.
    pub outcome: Outcome,
    /// `answered`, `failed 503`, `broken` or `timed-out`.
    pub ending: String,
    /// The number of such replies.
    pub count: u64,
}

/// The work that reached no caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WastedWork {
    /// Tokens that the engines generated.
    pub tokens_generated: u64,
    /// Tokens of whole, correct answers.
    pub tokens_good: u64,
    /// The part of the generated tokens that is in no whole, correct answer, in thousandths.
    pub wasted_permille: u64,
}

/// The requests whose "not run" was held against the stand-ins' counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NotRunProof {
    /// Whether chat requests were.
    pub chats: bool,
    /// Whether orders were.
    pub orders: bool,
}

/// Everything that a run showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Report {
    /// The length of the run in milliseconds.
    pub duration_ms: u64,
    /// Requests sent, repetitions included.
    pub requests: u64,
    /// Whole, correct answers a second that met every target of their class.
    pub goodput_per_s: f64,
    /// Tokens a second in whole, correct answers.
    pub good_tokens_per_s: f64,
    /// The longest delay between a planned and a true time of sending, in microseconds. It shows
    /// whether the load tool itself kept up.
    pub send_lag_max_us: u64,
    /// Each class in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// The replies by outcome and ending.
    pub replies: Vec<ReplyCount>,
    /// The work that reached no caller, where the stand-ins' counts are at hand.
    pub wasted: Option<WastedWork>,
    /// What each "not run" was held against.
    pub not_run_proof: NotRunProof,
    /// The broken promises that callers or stand-ins saw.
    pub faults: Vec<Fault>,
}

impl Report {
    /// Works out the report of a run of length `duration`.
    pub fn new(
        classes: &[ClassSettings],
        records: &[RequestRecord],
        evidence: &Evidence,
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
            replies: replies(records),
            wasted: evidence.tokens_generated.map(|it| wasted(it, tokens_good)),
            not_run_proof: not_run_proof(evidence),
            faults: faults::find(records, evidence),
        }
    }

    /// Whether no promise was seen broken.
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

fn not_run_proof(evidence: &Evidence) -> NotRunProof {
    NotRunProof {
        chats: evidence.starts_by_request.is_some(),
        orders: evidence.executions_by_key.is_some(),
    }
}

fn replies(records: &[RequestRecord]) -> Vec<ReplyCount> {
    let mut counts: BTreeMap<(String, String), ReplyCount> = BTreeMap::new();
    for record in records {
        let ending = ending_name(&record.ending);
        let key = (record.outcome.to_string(), ending.clone());
        let fresh = ReplyCount { outcome: record.outcome, ending, count: 0 };
        counts.entry(key).or_insert(fresh).count += 1;
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
    record.sending == Sending::First
}

fn per_second(count: u64, duration: Duration) -> f64 {
    let seconds = duration.as_secs_f64();
    if seconds > 0.0 { (count as f64 / seconds * 1_000.0).round() / 1_000.0 } else { 0.0 }
}

/// The part of `whole` that `part` makes up, in thousandths; zero of nothing.
fn permille(part: u64, whole: u64) -> u64 {
    (part * 1_000).checked_div(whole).unwrap_or_default()
}
