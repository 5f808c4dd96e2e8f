//! Settings come from a file and from flags, which take precedence; all faults are listed at once.

use std::fs;

use expect_test::{Expect, expect};
use standin::{FrontKind, ServiceSettings, cli};

fn parse_settings(file: &str, flags: &[&str]) -> anyhow::Result<cli::Invocation> {
    let dir = tempfile::tempdir()?;
    let path = dir.path().join("standin.ini");
    fs::write(&path, file)?;
    let path = path.display().to_string();
    let mut args = vec!["gooseberry-standin", "engine", "--config", &path];
    args.extend(flags);
    let invocation = cli::invocation(&cli::command().try_get_matches_from(args)?);
    invocation.map_err(|err| anyhow::anyhow!(err.to_string().replace(&path, "standin.ini")))
}

fn check_faults(file: &str, flags: &[&str], expect: Expect) {
    let error = parse_settings(file, flags).expect_err("invalid settings");
    expect.assert_eq(&error.to_string());
}

#[test]
fn flags_override_file() {
    let file = "[server]\nlisten = 127.0.0.1:9001\nfront = direct\n\
        [engine]\nmodels = small, large\n[model]\nbatch_max = 8\nwaiting_max = 9\n\
        [faults]\ncut_style = body\n";
    let flags = ["--set", "model.batch_max=4", "--listen", "127.0.0.1:9002"];
    let invocation = parse_settings(file, &flags).expect("valid settings");
    let ServiceSettings::Engine(engine) = invocation.service else {
        panic!("expected engine settings")
    };
    assert_eq!((engine.model.batch_max, engine.model.waiting_max), (4, 9));
    assert_eq!(engine.models, ["small", "large"]);
    assert_eq!(invocation.server.listen.port(), 9002);
    assert_eq!(invocation.server.front, FrontKind::Direct);
}

#[test]
fn all_faults_listed() {
    let file = "[engine]\nreport_lag_s = 1\nfencing = maybe\n[motor]\n[faults]\nframing = odd\n";
    check_faults(
        file,
        &[],
        expect![[r#"
        standin.ini:2: engine.report_lag_s: unknown key; write report_lag_ms, in the unit that its name ends in
        standin.ini:3: engine.fencing: `maybe` does not fit; write enforced or ignored
        standin.ini:4: motor: unknown section; use one of: server, faults, engine, model, orders, lookup, platform
        standin.ini:6: faults.framing: `odd` does not fit; write right, no-length, length-and-chunked or two-lengths"#]],
    );
}

#[test]
fn invalid_flags() {
    check_faults(
        "",
        &["--set", "engine.speed=3"],
        expect![
            "--set engine.speed=3:2: engine.speed: unknown key; use one of: cache_event_lag_ms, detached_keep_ms, fencing, incarnation, lost_cache_event_every, models, order_work_ms, report_lag_ms, time_scale_permille"
        ],
    );
    check_faults("", &["--set", "batch_max=3"], expect!["write --set SECTION.KEY=VALUE"]);
}
