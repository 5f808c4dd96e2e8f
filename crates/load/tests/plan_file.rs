//! Parses plan settings from INI text.

use expect_test::{Expect, expect};
use load::plan::{Plan, PlanSettings};

fn check(text: &str, expect: Expect) {
    let result = match PlanSettings::from_ini("plan.ini", text) {
        Ok(settings) => lines(&settings),
        Err(faults) => faults.to_string(),
    };
    expect.assert_eq(&result);
}

fn lines(settings: &PlanSettings) -> String {
    let PlanSettings { seed, duration_ms, rate_per_s, requests_max, .. } = settings;
    let mut lines = vec![
        format!("{seed} {duration_ms} {rate_per_s} {requests_max} {:?}", settings.workspaces),
        format!("{:?}", settings.bursts),
    ];
    lines.extend(settings.classes.iter().map(|it| format!("{it:?}")));
    lines.join("\n")
}

#[test]
fn all_sections_read() {
    check(
        "
[plan]
seed = 7
duration_ms = 5000
rate_per_s = 12.5
requests_max = 50
workspace_tokens = first, second
workspace_skew = 0

[class.summary]
weight = 3
answer = whole
first_token_ms = 2000

[class.restore]
kind = order
resend_permille = 250

[burst.uploads]
start_ms = 1000
length_ms = 500
class = summary
factor = 8
",
        expect![[r#"
            7 5000 12.5 50 WorkspaceSettings { tokens: ["first", "second"], skew: 0.0 }
            [BurstSettings { start_ms: 1000, length_ms: 500, class: Some("summary"), factor: 8.0 }]
            ClassSettings { name: "summary", kind: Chat, weight: 3, model: "small", answer: Whole, prompt_words_min: 8, prompt_words_max: 64, shared_words: 4, tokens_min: 16, tokens_max: 64, target: LatencyTarget { first_token_ms: Some(2000), between_tokens_ms: None, whole_ms: None }, resend_permille: 0, resend_after_ms: 200 }
            ClassSettings { name: "restore", kind: Order, weight: 1, model: "small", answer: Streamed, prompt_words_min: 8, prompt_words_max: 64, shared_words: 4, tokens_min: 16, tokens_max: 64, target: LatencyTarget { first_token_ms: None, between_tokens_ms: None, whole_ms: None }, resend_permille: 250, resend_after_ms: 200 }"#]],
    );
}

#[test]
fn all_faults_reported() {
    check(
        "
[plan]
seed = many
rate_per_ms = 1

[class.chat]
kind = letter

[burst.one]
start_ms = 5

[pool.one]
",
        expect![[r#"
            plan.ini:3: plan.seed: `many` does not fit; write a whole number
            plan.ini:4: plan.rate_per_ms: unknown key; write rate_per_s, in the unit that its name ends in
            plan.ini:7: class.chat.kind: `letter` does not fit; write chat, order or lookup
            plan.ini:9: burst.one.length_ms: is missing; write whole milliseconds
            plan.ini:12: pool.one: unknown section; use one of: plan, class.chat, burst.one"#]],
    );
}

#[test]
fn shipped_plans_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    let files = std::fs::read_dir(folder).expect("the folder of plans");
    for file in files {
        let path = file.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable plan");
        let settings = PlanSettings::from_ini(&path.display().to_string(), &text);
        let settings = settings.unwrap_or_else(|faults| panic!("{faults}"));
        let plan = Plan::generate(&settings).expect("a valid plan");
        assert!(!plan.arrivals.is_empty());
    }
}
