//! Loads a control VM with many light routers and with changes, and samples it.

use std::{
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command, value_parser};
use clock::{Clock, SystemClock};
use futures::{TryFutureExt, future::try_join};
use load::{
    capacity::{
        Accepted, Changer, Driver, FollowerSettings, Followers, HeldSize, Measure, NoWireBytes,
        Reading, Sample, SampleLabel, SamplerSettings, SiteSize, in_force_readings, watch,
    },
    proc_stat::Pid,
};
use monoio::time;

use super::sample::append;
use crate::cli::args;

const MS_PER_HOUR: u64 = 3_600_000;

/// Samples at rest, then measures how long changes take to be in force everywhere.
pub(crate) fn routers_command() -> Command {
    shared_args(
        Command::new("routers")
            .about("Samples a control VM against the number of routers linked to it"),
    )
    .arg(
        Arg::new("router-pid")
            .long("router-pid")
            .value_name("PID")
            .help("A real router linked to the control VM, which is watched too")
            .value_parser(value_parser!(u32)),
    )
    .arg(args::number("changes", "20", "Changes whose way to all routers is timed"))
    .arg(args::number("change-pause-ms", "100", "The pause between two changes"))
}

/// Samples while changes go on at a steady rate.
pub(crate) fn changes_command() -> Command {
    shared_args(Command::new("changes").about("Samples a control VM against the rate of changes"))
        .arg(args::number("changes-per-hour", "3600", "The rate of changes; 0 for none"))
}

fn shared_args(command: Command) -> Command {
    command
        .arg(args::addrs("control", "A control VM, the preferred one first").required(true))
        .arg(args::pid("The process of the first control VM").required(true))
        .arg(
            Arg::new("token").long("token").value_name("WORD").required(true).help(
                "The operators' token, made for this run only since other processes can read it",
            ),
        )
        .arg(args::number("followers", "16", "How many light routers"))
        .arg(args::number("exchange-interval-ms", "1000", "Time between summaries; 0 for none"))
        .arg(args::number("replicas", "118", "Replicas in the tables"))
        .arg(args::number("window-ms", "5000", "How long the control VM is watched"))
        .arg(args::number("reach-timeout-ms", "20000", "How long a change may take everywhere"))
        .arg(args::path("samples", "The file to add to, a JSON document a line").required(true))
}

pub(crate) async fn run_routers(matches: &ArgMatches) -> anyhow::Result<()> {
    let mut bench = Bench::start(matches).await?;
    let router_pid = matches.get_one::<u32>("router-pid").copied().map(Pid);
    let routers = bench.count + usize::from(router_pid.is_some());
    let control =
        watch(sampler(matches), label("control", routers), &bench.followers, &*bench.clock);
    let router = watch_router(matches, router_pid, routers, &*bench.clock);
    let (mut sample, router) = try_join(control.err_into(), router).await?;

    let pause = Duration::from_millis(args::value(matches, "change-pause-ms"));
    let mut times = Vec::new();
    for _ in 0..args::value::<u64>(matches, "changes") {
        let change = bench.changer.change().await?;
        bench.reach(change).await?;
        times.extend(bench.followers.in_force_times(change));
        time::sleep(pause).await;
    }
    sample.readings.extend(in_force_readings(&times));
    let samples: PathBuf = args::value(matches, "samples");
    append(&samples, &wire_of_each(&sample, bench.count))?;
    if let Some(router) = router {
        append(&samples, &router)?;
    }
    append(&samples, &sample)
}

fn label(role: &str, routers: usize) -> SampleLabel {
    let (role, size) = (role.to_owned(), routers as f64);
    SampleLabel { role, driver: Driver::Routers, size, held: Vec::new() }
}

async fn watch_router(
    matches: &ArgMatches,
    pid: Option<Pid>,
    routers: usize,
    clock: &dyn Clock,
) -> anyhow::Result<Option<Sample>> {
    let Some(pid) = pid else { return Ok(None) };
    let settings = SamplerSettings { pid, ..sampler(matches) };
    Ok(Some(watch(settings, label("router", routers), &NoWireBytes, clock).await?))
}

/// The bytes on the wire of each light router, whose links all end at the watched control VM.
fn wire_of_each(control: &Sample, followers: usize) -> Sample {
    let wire = control.readings.iter().filter(|it| it.measure == Measure::WireBytesPerS);
    let readings = wire.map(|it| Reading { value: it.value / followers as f64, ..*it }).collect();
    Sample { role: "router".to_owned(), readings, ..control.clone() }
}

pub(crate) async fn run_changes(matches: &ArgMatches) -> anyhow::Result<()> {
    let Bench { followers, changer, clock, count, .. } = Bench::start(matches).await?;
    let rate: u64 = args::value(matches, "changes-per-hour");
    if let Some(interval_ms) = MS_PER_HOUR.checked_div(rate) {
        monoio::spawn(keep_changing(changer, Duration::from_millis(interval_ms), clock.now()));
    }
    let label = SampleLabel {
        role: "control".to_owned(),
        driver: Driver::Changes,
        size: rate as f64,
        held: vec![HeldSize { driver: Driver::Routers, size: count as f64 }],
    };
    let sample = watch(sampler(matches), label, &followers, &*clock).await?;
    append(&args::value::<PathBuf>(matches, "samples"), &sample)
}

/// Changes at a steady rate; a slow answer does not delay the next change.
async fn keep_changing(mut changer: Changer, interval: Duration, start: Instant) {
    let clock = SystemClock;
    for number in 1.. {
        let due = start + interval * number;
        time::sleep(due.saturating_duration_since(clock.now())).await;
        if let Err(err) = changer.change().await {
            tracing::error!(event = "change_failed", %err);
        }
    }
}

/// A control VM with tables, and its followers that have them.
struct Bench {
    followers: Followers,
    changer: Changer,
    clock: Rc<dyn Clock>,
    count: usize,
    timeout: Duration,
}

impl Bench {
    async fn start(matches: &ArgMatches) -> anyhow::Result<Bench> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let replicas = args::value::<u64>(matches, "replicas") as usize;
        let settings = FollowerSettings {
            controls: args::all_addrs(matches, "control"),
            followers: args::value::<u64>(matches, "followers") as usize,
            replicas,
            exchange_interval_ms: args::value(matches, "exchange-interval-ms"),
        };
        let size = SiteSize { replicas, workspaces: 0 };
        let token = args::value(matches, "token");
        let control = settings.controls[0];
        let mut changer = Changer::connect(control, token, size, Rc::clone(&clock)).await?;
        let first = changer.change().await?;
        let followers = Followers::start(&settings, Rc::clone(&clock)).await;
        let timeout = Duration::from_millis(args::value(matches, "reach-timeout-ms"));
        let bench = Bench { followers, changer, clock, count: settings.followers, timeout };
        bench.reach(first).await?;
        Ok(bench)
    }

    async fn reach(&self, change: Accepted) -> anyhow::Result<()> {
        let reached = self.followers.reach(change.revision, self.timeout).await;
        let (count, revision) = (self.count, change.revision);
        ensure!(reached == count, "{reached} of {count} routers have revision {revision} in time");
        Ok(())
    }
}

fn sampler(matches: &ArgMatches) -> SamplerSettings {
    SamplerSettings {
        pid: Pid(args::value(matches, "pid")),
        window_ms: args::value(matches, "window-ms"),
    }
}
