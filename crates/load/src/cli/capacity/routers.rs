//! Loads a control VM with many light routers and with table changes, and samples its process.

use std::{
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command};
use clock::{Clock, SystemClock};
use load::{
    capacity::{
        Changer, Driver, HeldSize, LightRouterSettings, LightRouters, Measure, Reading, Sample,
        SampleLabel, SamplerSettings, SiteSize, TimedRevision, apply_time_readings, sample_process,
    },
    proc_stat::Pid,
};
use monoio::time;

use super::sample::append;
use crate::cli::args;

const MS_PER_HOUR: u64 = 3_600_000;

/// Samples the control VM without changes, then measures how long changes take to be applied by
/// all routers.
pub(crate) fn routers_command() -> Command {
    with_shared_args(
        Command::new("routers")
            .about("Samples a control VM against the number of routers linked to it"),
    )
    .arg(args::number("changes", "20", "Changes whose way to all routers is timed"))
    .arg(args::number("change-pause-ms", "100", "The pause between two changes"))
}

/// Samples the control VM while changes are proposed at a constant rate.
pub(crate) fn changes_command() -> Command {
    with_shared_args(
        Command::new("changes").about("Samples a control VM against the rate of changes"),
    )
    .arg(args::number("changes-per-hour", "3600", "The rate of changes; 0 for none"))
}

fn with_shared_args(command: Command) -> Command {
    command
        .arg(args::addrs("control", "A control VM, the preferred one first").required(true))
        .arg(args::pid("The process of the first control VM").required(true))
        .arg(
            Arg::new("token").long("token").value_name("WORD").required(true).help(
                "The operators' token, made for this run only since other processes can read it",
            ),
        )
        .arg(args::number("followers", "16", "How many light routers"))
        .arg(args::number("servers-each", "4", "Backend servers that each reports on"))
        .arg(args::number("exchange-interval-ms", "1000", "Time between summaries; 0 for none"))
        .arg(args::number("replicas", "118", "Replicas in the tables"))
        .arg(args::number("window-ms", "5000", "How long the control VM is watched"))
        .arg(args::number("reach-timeout-ms", "20000", "How long a change may take everywhere"))
        .arg(args::path("samples", "The file to add to, a JSON document a line").required(true))
}

pub(crate) async fn run_routers(matches: &ArgMatches) -> anyhow::Result<()> {
    let mut testbed = Testbed::start(matches).await?;
    let label = SampleLabel {
        role: "control".to_owned(),
        driver: Driver::Routers,
        size: testbed.router_count as f64,
        held: Vec::new(),
    };
    let sampler = sampler(matches);
    let mut sample = sample_process(sampler, label, &testbed.routers, &*testbed.clock).await?;

    let change_pause = Duration::from_millis(args::value(matches, "change-pause-ms"));
    let mut times = Vec::new();
    for _ in 0..args::value::<u64>(matches, "changes") {
        let change = testbed.changer.change().await?;
        testbed.wait_for_change(change).await?;
        times.extend(testbed.routers.apply_times(change));
        time::sleep(change_pause).await;
    }
    sample.readings.extend(apply_time_readings(&times));
    let samples: PathBuf = args::value(matches, "samples");
    append(&samples, &per_router_sample(&sample))?;
    append(&samples, &sample)
}

/// The mean bytes on the wire for each router. All links end at the sampled control VM, so its
/// total is divided by the number of routers.
fn per_router_sample(control: &Sample) -> Sample {
    let wire = control.readings.iter().filter(|it| it.measure == Measure::WireBytesPerS);
    let readings = wire.map(|it| Reading { value: it.value / control.size, ..*it }).collect();
    Sample { role: "router".to_owned(), readings, ..control.clone() }
}

pub(crate) async fn run_changes(matches: &ArgMatches) -> anyhow::Result<()> {
    let Testbed { routers, changer, clock, router_count, .. } = Testbed::start(matches).await?;
    let rate: u64 = args::value(matches, "changes-per-hour");
    if let Some(interval_ms) = MS_PER_HOUR.checked_div(rate) {
        monoio::spawn(propose_at_rate(changer, Duration::from_millis(interval_ms), clock.now()));
    }
    let label = SampleLabel {
        role: "control".to_owned(),
        driver: Driver::Changes,
        size: rate as f64,
        held: vec![HeldSize { driver: Driver::Routers, size: router_count as f64 }],
    };
    let sample = sample_process(sampler(matches), label, &routers, &*clock).await?;
    append(&args::value::<PathBuf>(matches, "samples"), &sample)
}

/// Proposes changes at a constant rate. A slow answer does not shift the times of later changes.
async fn propose_at_rate(mut changer: Changer, interval: Duration, start: Instant) {
    let clock = SystemClock;
    for number in 1.. {
        let due = start + interval * number;
        time::sleep(due.saturating_duration_since(clock.now())).await;
        if let Err(err) = changer.change().await {
            tracing::error!(event = "change_failed", %err);
        }
    }
}

/// A control VM with tables, and light routers that have applied them.
struct Testbed {
    routers: LightRouters,
    changer: Changer,
    clock: Rc<dyn Clock>,
    router_count: usize,
    timeout: Duration,
}

impl Testbed {
    async fn start(matches: &ArgMatches) -> anyhow::Result<Testbed> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let settings = LightRouterSettings {
            controls: args::all_addrs(matches, "control"),
            routers: args::value::<u64>(matches, "followers") as usize,
            servers_per_router: args::value::<u64>(matches, "servers-each") as usize,
            exchange_interval_ms: args::value(matches, "exchange-interval-ms"),
        };
        let replicas = args::value::<u64>(matches, "replicas") as usize;
        let size = SiteSize { replicas, workspaces: 0 };
        let token = args::value(matches, "token");
        let control = settings.controls[0];
        let mut changer = Changer::connect(control, token, size, Rc::clone(&clock)).await?;
        let first = changer.change().await?;
        let routers = LightRouters::start(&settings, Rc::clone(&clock)).await;
        let timeout = Duration::from_millis(args::value(matches, "reach-timeout-ms"));
        let testbed = Testbed { routers, changer, clock, router_count: settings.routers, timeout };
        testbed.wait_for_change(first).await?;
        Ok(testbed)
    }

    async fn wait_for_change(&self, change: TimedRevision) -> anyhow::Result<()> {
        let reached = self.routers.wait_for_revision(change.revision, self.timeout).await;
        let (router_count, revision) = (self.router_count, change.revision);
        ensure!(
            reached == router_count,
            "only {reached} of {router_count} routers applied revision {revision} in time"
        );
        Ok(())
    }
}

fn sampler(matches: &ArgMatches) -> SamplerSettings {
    SamplerSettings {
        pid: Pid(args::value(matches, "pid")),
        window_ms: args::value(matches, "window-ms"),
    }
}
