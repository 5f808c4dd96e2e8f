//! Reports on constructed records.

use std::time::Duration;

use expect_test::{Expect, expect};
use load::{
    answer_check::AnswerFault,
    plan::{AnswerMode, ArrivalId, Attempt, ClassIdx, ClassSettings, LatencyTarget, RequestKind},
    record::{Ending, Outcome, RequestRecord},
    report::{Report, StandinCounts, latency_svg, table},
};

fn classes() -> Vec<ClassSettings> {
    let target = LatencyTarget {
        first_token_ms: Some(100),
        between_tokens_ms: Some(20),
        whole_ms: Some(1_000),
    };
    let order_target = LatencyTarget { whole_ms: Some(500), ..LatencyTarget::default() };
    let order = ClassSettings {
        name: "order".to_owned(),
        kind: RequestKind::Order,
        target: order_target,
        ..ClassSettings::default()
    };
    vec![ClassSettings { target, ..ClassSettings::default() }, order]
}

fn chat(id: u64, first_token_ms: u64, whole_ms: u64) -> RequestRecord {
    RequestRecord {
        arrival: ArrivalId(id),
        class: ClassIdx(0),
        kind: RequestKind::Chat,
        answer: AnswerMode::Streamed,
        attempt: Attempt::First,
        idempotency_key: None,
        request_id: format!("req-{id}"),
        at_us: id * 1_000,
        send_lag_us: 40,
        first_token_us: Some(first_token_ms * 1_000),
        whole_us: Some(whole_ms * 1_000),
        tokens: 11,
        outcome: Outcome::Ran,
        ending: Ending::Answered,
        answer_fault: None,
        retry_after_s: None,
    }
}

fn refused(id: u64) -> RequestRecord {
    RequestRecord {
        first_token_us: None,
        tokens: 0,
        outcome: Outcome::NotRun,
        ending: Ending::Failed(503),
        retry_after_s: Some(2),
        ..chat(id, 0, 3)
    }
}

fn order(id: u64, key: &str, attempt: Attempt, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        class: ClassIdx(1),
        kind: RequestKind::Order,
        attempt,
        idempotency_key: Some(key.to_owned()),
        tokens: 0,
        outcome,
        ending: if outcome == Outcome::Ran { Ending::Answered } else { Ending::Failed(503) },
        ..chat(id, 5, 6)
    }
}

fn standin_counts(
    starts: &[(&str, u64)],
    executions: &[(&str, u64)],
    tokens_generated: u64,
) -> StandinCounts {
    let owned = |counts: &[(&str, u64)]| {
        counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
    };
    StandinCounts {
        starts_by_request: Some(owned(starts)),
        executions_by_key: Some(owned(executions)),
        tokens_generated: Some(tokens_generated),
    }
}

fn report(records: &[RequestRecord], standin_counts: &StandinCounts) -> Report {
    Report::new(&classes(), records, standin_counts, Duration::from_secs(2))
}

fn check_faults(records: &[RequestRecord], standin_counts: &StandinCounts, expect: Expect) {
    let report = report(records, standin_counts);
    let lines: Vec<String> = report
        .faults
        .iter()
        .map(|it| format!("arrival {} {}: {}", it.arrival, it.subject, it.kind))
        .collect();
    expect.assert_eq(&lines.join("\n"));
}

#[test]
fn table_layout() {
    let records = [
        chat(0, 50, 250),
        chat(1, 150, 350),
        chat(2, 80, 900),
        refused(3),
        order(4, "k", Attempt::First, Outcome::Ran),
    ];
    let standin_counts = standin_counts(&[("req-0", 1)], &[("k", 1)], 44);
    expect![[r#"
        requests          5
        duration          2000 ms
        goodput           1 requests/s
        good tokens       16.5 tokens/s
        wasted work       25.0% of 44 tokens generated
        worst send lag    0.0 ms

        class                  sent       good     failed       lost   attained      first    between      whole
        chat                      4          3          1          0      25.0%      50.0%      50.0%      75.0%
        order                     1          1          0          0     100.0%          -          -     100.0%

        class               latency      count        p50        p95        p99        max
        chat                  first          3    80.1 ms   150.0 ms   150.0 ms   150.0 ms
        chat                between          3    20.0 ms    82.0 ms    82.0 ms    82.0 ms
        chat                  whole          3   350.2 ms   900.1 ms   900.1 ms   900.1 ms
        order                 first          1     5.0 ms     5.0 ms     5.0 ms     5.0 ms
        order               between          0     0.0 ms     0.0 ms     0.0 ms     0.0 ms
        order                 whole          1     6.0 ms     6.0 ms     6.0 ms     6.0 ms

             1  failed 503, not-run
             4  answered, ran

        not run           checked for chat requests and orders
        faults            none
    "#]].assert_eq(&table(&report(&records, &standin_counts)));
}

#[test]
fn missing_counts() {
    let records = [chat(0, 50, 250)];
    let report =
        Report::new(&classes(), &records, &StandinCounts::default(), Duration::from_secs(1));
    assert_eq!(report.wasted, None);
    assert!(report.is_faultless());
}

#[test]
fn whole_without_token_gaps() {
    let whole = RequestRecord { answer: AnswerMode::Whole, ..chat(0, 250, 250) };
    let report = report(&[whole], &StandinCounts::default());
    let chat = &report.classes[0];
    assert_eq!((chat.whole.count, chat.between_tokens.count), (1, 0));
}

#[test]
fn resend_not_counted() {
    let resend = RequestRecord { attempt: Attempt::Resend(ArrivalId(0)), ..chat(1, 50, 250) };
    let report = report(&[chat(0, 50, 250), resend], &StandinCounts::default());
    let attainment = &report.classes[0].attainment;
    assert_eq!((attainment.sent, attainment.met), (1, 1));
    assert_eq!(report.goodput_per_s, 0.5);
}

#[test]
fn answer_faults_reported() {
    let with = |id, fault| RequestRecord { answer_fault: Some(fault), ..chat(id, 5, 6) };
    let records = [
        with(0, AnswerFault::Cut),
        with(1, AnswerFault::Duplicated),
        with(2, AnswerFault::Foreign),
    ];
    check_faults(
        &records,
        &StandinCounts::default(),
        expect![[r#"
        arrival 0 req-0: answer cut
        arrival 1 req-1: answer duplicated
        arrival 2 req-2: answer foreign"#]],
    );
    assert_eq!(report(&records, &StandinCounts::default()).goodput_per_s, 0.0);
}

#[test]
fn missing_outcome_reported() {
    let unstated = RequestRecord { outcome: Outcome::Unstated, ..refused(0) };
    let broken = RequestRecord {
        outcome: Outcome::Unstated,
        ending: Ending::Broken("connection reset".to_owned()),
        ..refused(1)
    };
    check_faults(
        &[unstated, broken],
        &StandinCounts::default(),
        expect!["arrival 0 req-0: outcome unstated"],
    );
}

#[test]
fn false_not_run_reported() {
    let standin_counts = standin_counts(&[("req-0", 1), ("req-2", 1)], &[], 0);
    check_faults(
        &[refused(0), refused(1), chat(2, 5, 6)],
        &standin_counts,
        expect!["arrival 0 req-0: false not-run"],
    );
}

#[test]
fn order_faults_reported() {
    let resend = Attempt::Resend(ArrivalId(0));
    let records = [
        order(0, "twice", Attempt::First, Outcome::Ran),
        order(1, "twice", resend, Outcome::Ran),
        order(2, "denied", Attempt::First, Outcome::NotRun),
        order(3, "never", Attempt::First, Outcome::Ran),
        order(4, "resent", Attempt::First, Outcome::NotRun),
        order(5, "resent", resend, Outcome::Ran),
        order(6, "unsure", Attempt::First, Outcome::MayHaveRun),
    ];
    let standin_counts =
        standin_counts(&[], &[("twice", 2), ("denied", 1), ("resent", 1), ("unsure", 1)], 0);
    check_faults(
        &records,
        &standin_counts,
        expect![[r#"
        arrival 0 twice: order repeated
        arrival 2 denied: false not-run
        arrival 3 never: false ran"#]],
    );
}

#[test]
fn latency_plot_labels() {
    let report = report(&[chat(0, 50, 250), chat(1, 60, 300)], &StandinCounts::default());
    let svg = latency_svg(&report).expect("finite numbers");
    assert!(svg.contains("chat, first token") && svg.contains("chat, whole"));
    assert!(!svg.contains("order, first token"));
    let parsed: Report = serde_json::from_str(&serde_json::to_string(&report).expect("plain data"))
        .expect("valid JSON of a report");
    assert_eq!(parsed, report);
}
