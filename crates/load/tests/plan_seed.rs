//! Plans are reproducible from their seed, and each setting affects only its part of the plan.

use expect_test::{Expect, expect};
use load::plan::{
    Attempt, BurstSettings, ClassIdx, ClassSettings, Plan, PlanSettings, RequestKind,
    WorkspaceSettings,
};

fn two_classes() -> PlanSettings {
    let order = ClassSettings {
        name: "order".to_owned(),
        kind: RequestKind::Order,
        resend_permille: 500,
        ..ClassSettings::default()
    };
    PlanSettings {
        duration_ms: 60_000,
        classes: vec![ClassSettings::default(), order],
        workspaces: WorkspaceSettings {
            tokens: (0..5).map(|it| format!("token-{it}")).collect(),
            skew: 1.0,
        },
        ..PlanSettings::default()
    }
}

fn generate(settings: &PlanSettings) -> Plan {
    Plan::generate(settings).expect("the settings are valid")
}

fn check_faults(settings: &PlanSettings, expect: Expect) {
    let faults = Plan::generate(settings).expect_err("the settings are invalid");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect.assert_eq(&lines.join("\n"));
}

#[test]
fn same_seed_same_plan() {
    let first = serde_json::to_string(&generate(&two_classes())).expect("plain data");
    let second = serde_json::to_string(&generate(&two_classes())).expect("plain data");
    assert_eq!(first, second);

    let other_seed = PlanSettings { seed: 2, ..two_classes() };
    assert_ne!(generate(&two_classes()), generate(&other_seed));
}

#[test]
fn first_arrivals_fixed() {
    let settings = PlanSettings { requests_max: 3, ..two_classes() };
    let lines: Vec<String> = generate(&settings)
        .arrivals
        .iter()
        .map(|it| {
            let (class, workspace) = (it.class.0, it.workspace.0);
            format!("{} {}us class {class} workspace {workspace} {}", it.id, it.at_us, it.prompt)
        })
        .collect();
    expect![[r#"
        0 51497us class 0 workspace 0 workspace 0: please draft the monthly 1-0 and tag summarise draft last monthly please each clip tag summarise and members monthly please our members each members night
        1 142270us class 0 workspace 0 workspace 0: please draft the monthly 1-1 last tag tag and members our for for from night the from each our our summarise monthly our from tag our clip for monthly night for last clip clip timetable our from summarise the summarise clip the please draft please night last for for night please last last from each
        2 175634us class 0 workspace 3 workspace 3: monthly timetable for our 1-2 draft for please monthly from tag from and tag timetable draft from for tag members members and draft summarise tag tag and each each members members summarise last summarise summarise from summarise members"#]].assert_eq(&lines.join("\n"));
}

#[test]
fn burst_rate() {
    let burst = BurstSettings {
        start_ms: 20_000,
        length_ms: 20_000,
        class: Some("chat".to_owned()),
        factor: 5.0,
    };
    let without_burst = generate(&two_classes());
    let bursting = generate(&PlanSettings { bursts: vec![burst], ..two_classes() });
    let count = |plan: &Plan, class: ClassIdx, second: std::ops::Range<u64>| {
        let within = |at_us: u64| second.contains(&(at_us / 1_000_000));
        plan.arrivals.iter().filter(|it| it.class == class && within(it.at_us)).count()
    };
    let (chat, order) = (ClassIdx(0), ClassIdx(1));
    let lines = [
        format!("chat before {}", count(&bursting, chat, 0..20)),
        format!("chat within {}", count(&bursting, chat, 20..40)),
        format!("chat after {}", count(&bursting, chat, 40..60)),
        format!("without_burst chat within {}", count(&without_burst, chat, 20..40)),
    ];
    expect![[r#"
        chat before 196
        chat within 1023
        chat after 209
        without_burst chat within 221"#]]
    .assert_eq(&lines.join("\n"));

    let order_times = |plan: &Plan| -> Vec<u64> {
        let firsts = plan.arrivals.iter().filter(|it| it.attempt == Attempt::First);
        firsts.filter(|it| it.class == order).map(|it| it.at_us).collect()
    };
    assert_eq!(order_times(&without_burst), order_times(&bursting));
}

#[test]
fn workspace_skew() {
    let plan = generate(&two_classes());
    let counts: Vec<usize> =
        (0..5).map(|idx| plan.arrivals.iter().filter(|it| it.workspace.0 == idx).count()).collect();
    expect!["[679, 317, 191, 165, 139]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn resend_same_request() {
    let plan = generate(&two_classes());
    let mut resends = 0;
    for arrival in &plan.arrivals {
        let Attempt::Resend(first) = arrival.attempt else { continue };
        let first = &plan.arrivals[first.0 as usize];
        assert_eq!(first.attempt, Attempt::First);
        assert_eq!(first.idempotency_key, arrival.idempotency_key);
        assert_eq!(first.prompt, arrival.prompt);
        assert_eq!(first.workspace, arrival.workspace);
        assert_eq!(arrival.at_us - first.at_us, 200_000);
        resends += 1;
    }
    assert!(resends > 100, "about half of the orders should be resent, but only {resends} were");
}

#[test]
fn distinct_prompts() {
    let plan = generate(&two_classes());
    let firsts = plan.arrivals.iter().filter(|it| it.attempt == Attempt::First);
    let mut prompts: Vec<&str> = firsts.map(|it| it.prompt.as_str()).collect();
    let count = prompts.len();
    prompts.sort_unstable();
    prompts.dedup();
    assert_eq!(prompts.len(), count);
}

#[test]
fn all_faults_at_once() {
    let invalid_class = ClassSettings {
        prompt_words_min: 9,
        prompt_words_max: 8,
        tokens_min: 0,
        resend_permille: 1_001,
        ..ClassSettings::default()
    };
    let settings = PlanSettings {
        rate_per_s: 0.0,
        classes: vec![ClassSettings::default(), invalid_class],
        workspaces: WorkspaceSettings { tokens: Vec::new(), skew: -1.0 },
        bursts: vec![BurstSettings {
            class: Some("absent".to_owned()),
            factor: f64::NAN,
            ..BurstSettings::default()
        }],
        ..PlanSettings::default()
    };
    check_faults(
        &settings,
        expect![[r#"
        rate_per_s of the plan is 0; give a value in 0..100000
        workspace_skew of the plan is -1; give a value from 0 to 10
        the plan has no workspace token; add at least one
        prompt_words_min of class chat is 9; give a value up to prompt_words_max
        tokens_min of class chat is 0; give a value from 1 to tokens_max
        resend_permille of class chat is 1001; give a value from 0 to 1000
        class chat is defined twice; rename one of the two
        a burst names class absent, which is not defined; add [class.absent] or correct it
        factor of a burst is NaN; give a value from 0 to 1000"#]],
    );
}
