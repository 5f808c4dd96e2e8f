//! Guards against a control VM that does not start with the settings of a newer or an older build, or that
//! starts with wrong ones.

use control::Settings;

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
