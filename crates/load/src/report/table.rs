//! Formats the report as text for a terminal.

use std::{collections::BTreeMap, fmt::Write};

use super::{ClassReport, FaultKind, LatencySummary, NotRunChecks, Report, WastedWork};

/// The maximum number of faults that are listed one by one below the counts.
const FAULTS_LISTED: usize = 10;

/// Formats the report as plain text.
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    push_head(&mut text, report);
    push_classes(&mut text, report);
    push_replies(&mut text, report);
    push_faults(&mut text, report);
    text
}

fn push_head(text: &mut String, report: &Report) {
    push_line(text, &format!("requests          {}", report.requests));
    push_line(text, &format!("duration          {} ms", report.duration_ms));
    push_line(text, &format!("goodput           {} requests/s", report.goodput_per_s));
    push_line(text, &format!("good tokens       {} tokens/s", report.good_tokens_per_s));
    push_line(text, &format!("wasted work       {}", wasted(report.wasted)));
    push_line(text, &format!("worst send lag    {}", ms(report.send_lag_max_us)));
}

fn push_classes(text: &mut String, report: &Report) {
    push_line(text, "");
    let head = ["class", "sent", "good", "failed", "lost", "attained", "first", "between", "whole"];
    push_row(text, &head.map(str::to_owned));
    for class in &report.classes {
        push_row(text, &class_row(class));
    }
    push_line(text, "");
    let head = ["class", "latency", "count", "p50", "p95", "p99", "max", "", ""].map(str::to_owned);
    push_row(text, &head);
    for class in &report.classes {
        push_row(text, &latency_row(class, "first", &class.first_token));
        push_row(text, &latency_row(class, "between", &class.between_tokens));
        push_row(text, &latency_row(class, "whole", &class.whole));
    }
}

fn class_row(class: &ClassReport) -> [String; 9] {
    let attainment = &class.attainment;
    [
        class.name.clone(),
        class.requests.to_string(),
        class.good.to_string(),
        class.failed.to_string(),
        class.lost.to_string(),
        percent(Some(attainment.met_permille)),
        percent(attainment.first_token_permille),
        percent(attainment.between_tokens_permille),
        percent(attainment.whole_permille),
    ]
}

fn latency_row(class: &ClassReport, name: &str, summary: &LatencySummary) -> [String; 9] {
    [
        class.name.clone(),
        name.to_owned(),
        summary.count.to_string(),
        ms(summary.p50_us),
        ms(summary.p95_us),
        ms(summary.p99_us),
        ms(summary.max_us),
        String::new(),
        String::new(),
    ]
}

fn push_replies(text: &mut String, report: &Report) {
    push_line(text, "");
    for reply in &report.replies {
        let line = format!("{:>6}  {}, {}", reply.count, reply.ending, reply.outcome);
        push_line(text, &line);
    }
}

fn push_faults(text: &mut String, report: &Report) {
    push_line(text, "");
    push_line(text, &format!("not run           {}", not_run_checks(report.not_run_checks)));
    if report.is_faultless() {
        push_line(text, "faults            none");
        return;
    }
    let mut counts: BTreeMap<FaultKind, u64> = BTreeMap::new();
    for fault in &report.faults {
        *counts.entry(fault.kind).or_default() += 1;
    }
    for (kind, count) in counts {
        push_line(text, &format!("FAULT {count:>6}  {kind}"));
    }
    for fault in report.faults.iter().take(FAULTS_LISTED) {
        push_line(text, &format!("  arrival {} {}: {}", fault.arrival, fault.subject, fault.kind));
    }
}

fn push_row(text: &mut String, cells: &[String; 9]) {
    let mut line = format!("{:<16}", cells[0]);
    for cell in &cells[1..] {
        write!(line, "{cell:>11}").expect("writing to a string does not fail");
    }
    push_line(text, &line);
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line.trim_end());
    text.push('\n');
}

fn wasted(wasted: Option<WastedWork>) -> String {
    let Some(wasted) = wasted else { return "unknown, no stand-in was asked".to_owned() };
    let percent = percent(Some(wasted.wasted_permille));
    format!("{percent} of {} tokens generated", wasted.tokens_generated)
}

fn not_run_checks(checks: NotRunChecks) -> &'static str {
    match checks {
        NotRunChecks { chats: true, orders: true } => "checked for chat requests and orders",
        NotRunChecks { chats: true, orders: false } => "checked for chat requests only",
        NotRunChecks { chats: false, orders: true } => "checked for orders only",
        NotRunChecks { chats: false, orders: false } => "not checked, no counts are known",
    }
}

fn percent(permille: Option<u64>) -> String {
    permille.map_or("-".to_owned(), |it| format!("{}.{}%", it / 10, it % 10))
}

fn ms(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1_000.0)
}
