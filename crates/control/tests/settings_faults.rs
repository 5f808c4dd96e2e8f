//! Guards against a control VM that does not start with the settings of a newer or an older build, or that
//! starts with wrong ones.

use std::time::Duration;

use control::{Duty, DutySettings, Settings};

const TEXT: &str = "[control]\nfailure_domain = fd-1\nlisten = 127.0.0.1:7100\ndata_dir = data\n\
                    trust = network\n";

#[test]
fn unknown_names_ignored() {
    let text = format!("{TEXT}mystery = 3\n[later]\na = 1\n");
    let settings = Settings::parse("control.ini", &text).expect("only unknown names");
    let unknown: Vec<_> = settings.unknown.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(unknown, ["later", "control.mystery"]);
}

#[test]
fn unknown_names_beside_faults() {
    let text = format!("{TEXT}heartbeat = 3\nheartbeat_ms = soon\n");
    let faults = Settings::parse("control.ini", &text).expect_err("a value does not fit");
    let named: Vec<_> = faults.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(named, ["control.heartbeat", "control.heartbeat_ms"]);
}

const DUTIES: &str = "platform = 127.0.0.1:8000\nvm = vm-1\nduties = metering,autoscale\n";

/// The names of the settings that are faulty.
fn faulty(text: &str) -> Vec<String> {
    let faults = Settings::parse("control.ini", text).expect_err("a fault");
    faults.iter().map(|it| it.name.clone()).collect()
}

/// Guards against a control VM that does not start where a template has no values for the duties.
#[test]
fn empty_duty_values() {
    let keys = ["vm", "duties", "duty_lease_ms", "usage_window_s", "usage_late_s"];
    let empty: String = keys.iter().map(|it| format!("{it} =\n")).collect();
    let settings = Settings::parse("control.ini", &format!("{TEXT}{empty}")).expect("no fault");
    assert_eq!(settings.duties, DutySettings::default());
}

#[test]
fn duties_read() {
    let times = "duty_lease_ms = 2000\nusage_window_s = 2.5\nusage_late_s = 8\n";
    let text = format!("{TEXT}{DUTIES}{times}");
    let settings = Settings::parse("control.ini", &text).expect("no fault");
    let expected = DutySettings {
        vm: "vm-1".to_owned(),
        duties: vec![Duty::Metering, Duty::Autoscaling],
        lease: Duration::from_secs(2),
        usage_window: Duration::from_millis(2_500),
        usage_late: Duration::from_secs(8),
    };
    assert_eq!(settings.duties, expected);
}

/// Guards against calls of several VMs under the same empty name, against a name that no header field can
/// carry, and against duties that nobody performs since there is no platform.
#[test]
fn unfit_duties() {
    for vm in ["", "vm 1", "v\u{e4}m"] {
        let text = format!("{TEXT}{}", DUTIES.replace("vm-1", vm));
        assert_eq!(faulty(&text), ["control.vm"], "{vm}");
    }
    assert_eq!(faulty(&format!("{TEXT}vm = vm-1\nduties = metering\n")), ["control.platform"]);
    let unknown = DUTIES.replace("autoscale", "sweeping");
    assert_eq!(faulty(&format!("{TEXT}{unknown}")), ["control.duties"]);
    for value in ["0", "-1", "soon"] {
        let text = format!("{TEXT}{DUTIES}usage_window_s = {value}\n");
        assert_eq!(faulty(&text), ["control.usage_window_s"], "{value}");
    }
}

/// Guards against a control VM that formats its disk by a default, because a template left the value empty: a
/// seed that joins instead of founding its cluster can't be told otherwise later.
#[test]
fn empty_values_refused() {
    for key in ["found", "operators_listen", "platform", "losses_max"] {
        let text = format!("{TEXT}{key} =\n");
        let faults = Settings::parse("control.ini", &text).expect_err("an empty value");
        let named: Vec<_> = faults.iter().map(|it| it.name.clone()).collect();
        assert_eq!(named, [format!("control.{key}")]);
    }
}
