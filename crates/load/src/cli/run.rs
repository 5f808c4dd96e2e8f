//! Sends a plan and prints the report.

use std::{path::PathBuf, rc::Rc};

use anyhow::{anyhow, bail};
use clap::{ArgMatches, Command};
use clock::{Clock, SystemClock};
use httpio::client::{Pool, PoolSettings};
use load::{
    caller::{Caller, CallerSettings},
    plan::{Plan, PlanSettings},
    report::{Report, latency_svg, table},
    runner::{self, RunResult, RunnerSettings},
    standin_counts::{self, Standins},
};

use super::args;

pub(crate) fn command() -> Command {
    Command::new("run")
        .about("Sends a plan open loop, checks every answer and reports")
        .arg(args::path("plan", "The plan as INI").required(true))
        .arg(args::addrs("router", "A router; may be given more than once").required(true))
        .arg(args::addrs("engine", "A stand-in engine whose counts are read"))
        .arg(args::addrs("order-service", "A stand-in order service whose counts are read"))
        .arg(args::number("seed", "0", "Replaces the seed of the plan, unless it is 0"))
        .arg(args::word("run-name", "", "Replaces the name of the run; by default the time"))
        .arg(args::number("timeout-ms", "60000", "How long each caller waits"))
        .arg(args::number("in-flight-max", "4000", "The most requests in flight"))
        .arg(args::number("time-limit-ms", "300000", "No arrival after this is sent"))
        .arg(args::path("json", "Where to write the report as JSON"))
        .arg(args::path("records", "Where to write what was seen of each request as JSON"))
        .arg(args::path("svg", "Where to write the latency curves as SVG"))
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let settings = plan_settings(matches)?;
    let plan = Plan::generate(&settings).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow!("the plan is invalid:\n{}", lines.join("\n"))
    })?;
    let (result, report) = measure(matches, &settings, &plan).await?;

    print!("{}", table(&report));
    args::write_if_given(matches, "json", || args::to_json(&report))?;
    args::write_if_given(matches, "records", || args::to_json(&result.records))?;
    args::write_if_given(matches, "svg", || Ok(latency_svg(&report)?))?;
    if !report.is_faultless() {
        bail!("the run found {} faults; see the report", report.faults.len());
    }
    Ok(())
}

async fn measure(
    matches: &ArgMatches,
    settings: &PlanSettings,
    plan: &Plan,
) -> anyhow::Result<(RunResult, Report)> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let pool = Pool::new(PoolSettings::default(), Rc::clone(&clock));
    let standins = Standins {
        engines: args::all_addrs(matches, "engine"),
        order_services: args::all_addrs(matches, "order-service"),
    };
    let tokens_before = standin_counts::tokens_generated(&pool, &standins).await?;

    let timeout_ms = args::value(matches, "timeout-ms");
    let caller = Caller::new(CallerSettings { timeout_ms, ..CallerSettings::default() });
    let runner_settings = RunnerSettings {
        in_flight_max: args::value::<u64>(matches, "in-flight-max") as usize,
        time_limit_ms: args::value(matches, "time-limit-ms"),
    };
    let routers = args::all_addrs(matches, "router");
    let result =
        runner::run(runner_settings, settings, plan, &routers, &caller, Rc::clone(&clock)).await?;

    let counts = standin_counts::collect(&pool, &standins, &result.records, tokens_before).await?;
    let report = Report::new(&settings.classes, &result.records, &counts, result.duration);
    Ok((result, report))
}

fn plan_settings(matches: &ArgMatches) -> anyhow::Result<PlanSettings> {
    let path: PathBuf = args::value(matches, "plan");
    let mut settings = PlanSettings::from_ini(&path.display().to_string(), &args::read(&path)?)?;
    let seed = args::value(matches, "seed");
    if seed != 0 {
        settings.seed = seed;
    }
    settings.run_name = match args::value::<String>(matches, "run-name") {
        name if name.is_empty() => run_name_from_time(),
        name => name,
    };
    Ok(settings)
}

/// A run name derived from the current time. It must differ between runs, because routers
/// deduplicate orders by keys that contain it.
fn run_name_from_time() -> String {
    format!("run{:x}", SystemClock.unix_ms())
}
