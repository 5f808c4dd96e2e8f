//! Guards against settings errors that are reported one at a time, and secrets in error texts.

use std::time::Duration;

use expect_test::{Expect, expect};
use router::{identity::Workspaces, settings::RouterSettings};

fn check(text: &str, expected: Expect) {
    let shown = match RouterSettings::parse("router.ini", text) {
        Ok(settings) => format!("{} {}", settings.listen, settings.drain_delay_ms),
        Err(faults) => faults.to_string(),
    };
    expected.assert_eq(&shown);
}

#[test]
fn missing_token_file() {
    check(
        "[router]\nvm = vm-1\nfailure_domain = fd-1\ncontrol = 127.0.0.1:7000\n",
        expect![
            "router.ini:1: router.command_token_file: is missing although control is set; name the token's file"
        ],
    );
}

#[test]
fn all_faults_reported() {
    check(
        "[router]\nvm = vm-1\nlisten = here\ndrain_delay_s = 3\n[waits]\nsilence_ms = soon\n[extra]\na = 1\n",
        expect![[r#"
            router.ini:1: router.failure_domain: is missing; write the name of the failure domain
            router.ini:1: router.control: no source of the tables is set; name control VMs, or routes_file and pools_file
            router.ini:3: router.listen: `here` does not fit; write an IP address and port, such as 10.0.0.5:8080
            router.ini:4: router.drain_delay_s: unknown key; write drain_delay_ms, in the unit that its name ends in
            router.ini:6: waits.silence_ms: `soon` does not fit; write a whole number of milliseconds, such as 2000
            router.ini:7: extra: unknown section; use one of: router, callers, backends, waits"#]],
    );
}

/// Guards against a router that does not start with the settings of a newer or an older build.
#[test]
fn unknown_names_ignored() {
    let text = "[router]\nvm = vm-1\nfailure_domain = fd-1\nroutes_file = a\npools_file = b\n\
                mystery = 3\n[later]\na = 1\n";
    let settings = RouterSettings::parse("router.ini", text).expect("only unknown names");
    assert_eq!(settings.vm, "vm-1");
    let unknown: Vec<_> = settings.unknown.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(unknown, ["later", "router.mystery"]);
}

fn check_stop_grace(line: &str, expected: Expect) {
    let text = format!(
        "[router]\nvm = vm-1\nfailure_domain = fd-1\nroutes_file = a\npools_file = b\n{line}\n"
    );
    let shown = match RouterSettings::parse("router.ini", &text) {
        Ok(settings) => format!("{:?}", settings.stop_grace),
        Err(faults) => faults.to_string(),
    };
    expected.assert_eq(&shown);
}

/// Guards against a router that does not start because its template names no grace, or a fraction.
#[test]
fn stop_grace() {
    check_stop_grace("", expect!["8s"]);
    check_stop_grace("stop_grace_s =", expect!["8s"]);
    check_stop_grace("stop_grace_s = 30", expect!["30s"]);
    check_stop_grace("stop_grace_s = 7.5", expect!["7.5s"]);
    let fault = expect![
        "router.ini:6: router.stop_grace_s: `-1` does not fit; write a number of seconds, such as 8 or 7.5"
    ];
    check_stop_grace("stop_grace_s = -1", fault);
}

/// Guards against a router that does not start because an advisory value does not fit.
#[test]
fn advisory_values() {
    for value in ["", "110.5", "much"] {
        let text = format!(
            "[router]\nvm = vm-1\nfailure_domain = fd-1\nroutes_file = a\npools_file = b\n\
             memory_mb = {value}\n"
        );
        let settings = RouterSettings::parse("router.ini", &text).expect("only advisory values");
        assert_eq!(settings.memory_mb, RouterSettings::default().memory_mb);
        let noted: Vec<_> = settings.unknown.iter().map(|it| it.name.as_str()).collect();
        assert_eq!(noted, ["router.memory_mb"]);
    }
}

#[test]
fn tokens_are_hidden() {
    let workspaces =
        Workspaces::parse("[north]\ntoken = very-secret\n").expect("the workspaces are valid");
    assert!(!format!("{workspaces:?}").contains("very-secret"));

    let shared_token = "[north]\ntoken = very-secret\n[south]\ntoken = very-secret\ncolour = red\n";
    let faults = Workspaces::parse(shared_token).expect_err("a token names one workspace");
    expect![[r#"
        workspaces:4: south.token: is also the token of another workspace; give each its own
        workspaces:5: south.colour: unknown key; use one of: in_flight_max, token, weight"#]]
    .assert_eq(&faults.to_string());
}

/// Guards against a router that does not start where a template has no values for the duties, that counts
/// although nobody asks for it, or that counts by other windows than the control VMs.
#[test]
fn metered_windows() {
    let parse = |duties: &str, window: &str| {
        let text = format!(
            "[router]\nvm = vm-1\nfailure_domain = fd-1\ntrust = network\n\
             control = 127.0.0.1:7000\nduties ={duties}\nusage_window_s ={window}\n"
        );
        RouterSettings::parse("router.ini", &text).map(|it| it.usage_window)
    };
    assert_eq!(parse("", ""), Ok(None));
    assert_eq!(parse(" autoscale", " 5"), Ok(None));
    assert_eq!(parse(" metering", ""), Ok(Some(Duration::from_secs(5))));
    assert_eq!(parse(" metering,autoscale", " 2.5"), Ok(Some(Duration::from_millis(2_500))));
    for window in [" 0", " -1", " soon"] {
        assert!(parse(" metering", window).is_err(), "{window}");
    }
}

fn check_hedges(line: &str, expected: Expect) {
    let text = format!(
        "[router]\nvm = vm-1\nfailure_domain = fd-1\nroutes_file = a\npools_file = b\n{line}\n"
    );
    let shown = match RouterSettings::parse("router.ini", &text) {
        Ok(settings) => settings.hedge_permille.to_string(),
        Err(faults) => faults.to_string(),
    };
    expected.assert_eq(&shown);
}

/// Guards against hedges that nobody has asked for, and a limit above that of all repeats.
#[test]
fn hedge_limit() {
    check_hedges("", expect!["0"]);
    check_hedges("hedge_permille =", expect!["0"]);
    check_hedges("hedge_permille = 20", expect!["20"]);
    check_hedges(
        "hedge_permille = 201",
        expect![
            "router.ini:6: router.hedge_permille: `201` does not fit; write a whole number from 0 to 200"
        ],
    );
    check_hedges(
        "hedge_permille = some",
        expect![
            "router.ini:6: router.hedge_permille: `some` does not fit; write a whole number from 0 to 200"
        ],
    );
}
