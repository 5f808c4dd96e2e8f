//! Loads a control VM with many light routers and samples it.

use std::{path::PathBuf, rc::Rc, time::Duration};

use anyhow::ensure;
use clap::{ArgMatches, Command};
use clock::{Clock, SystemClock};
use load::{
    capacity::{Driver, FollowerSettings, Followers, SampleLabel, SamplerSettings, watch},
    proc_stat::Pid,
};
use tables::Revision;

use super::sample::append;
use crate::cli::args;

pub(crate) fn command() -> Command {
    Command::new("routers")
        .about("Connects many light routers to a control VM and samples it at rest")
        .arg(args::addrs("control", "A control VM, the preferred one first").required(true))
        .arg(args::pid("The process of the first control VM").required(true))
        .arg(args::number("followers", "16", "How many light routers"))
        .arg(args::number("servers-each", "4", "Backend servers that each reports on"))
        .arg(args::number("exchange-interval-ms", "1000", "Time between summaries; 0 for none"))
        .arg(args::number("window-ms", "5000", "How long the control VM is watched"))
        .arg(args::number("reach-timeout-ms", "20000", "How long a change may take everywhere"))
        .arg(args::path("samples", "The file to add to, a JSON document a line").required(true))
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let settings = FollowerSettings {
        controls: args::all_addrs(matches, "control"),
        followers: args::value::<u64>(matches, "followers") as usize,
        servers_each: args::value::<u64>(matches, "servers-each") as usize,
        exchange_interval_ms: args::value(matches, "exchange-interval-ms"),
    };
    let followers = Followers::start(&settings, Rc::clone(&clock)).await;
    let timeout = Duration::from_millis(args::value(matches, "reach-timeout-ms"));
    let reached = followers.reach(Revision(1), timeout).await;
    ensure!(reached == settings.followers, "{reached} followers have tables; see the control VM");

    let sampler = SamplerSettings {
        pid: Pid(args::value(matches, "pid")),
        window_ms: args::value(matches, "window-ms"),
    };
    let size = settings.followers as f64;
    let label = SampleLabel { role: "control".to_owned(), driver: Driver::Routers, size };
    let sample = watch(sampler, label, &followers, &*clock).await?;
    append(&args::value::<PathBuf>(matches, "samples"), &sample)
}
