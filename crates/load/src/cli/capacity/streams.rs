//! Holds many streams open through a router and samples its process.

use std::{path::PathBuf, time::Duration};

use clap::{ArgMatches, Command};
use clock::SystemClock;
use load::{
    caller::{Call, Caller, CallerSettings},
    capacity::{Driver, NoWireBytes, SampleLabel, SamplerSettings, sample_process},
    proc_stat::Pid,
    streams::{OpenStreams, long_call},
};

use super::sample::append;
use crate::cli::args;

pub(crate) fn command() -> Command {
    Command::new("streams")
        .about("Holds streams open through a router and samples it")
        .arg(args::addr("router", "The router"))
        .arg(args::pid("The router's process").required(true))
        .arg(args::number("streams", "100", "How many streams"))
        .arg(args::word("class", "chat", "The class of the requests"))
        .arg(args::word("token", "", "The workspace's bearer token"))
        .arg(args::word("model", "small", "The model"))
        .arg(args::number("window-ms", "5000", "How long the router is watched"))
        .arg(args::number("open-timeout-ms", "20000", "How long opening streams may take"))
        .arg(args::path("samples", "The file to add to, a JSON document a line").required(true))
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let count = args::value::<u64>(matches, "streams") as usize;
    let call = Call {
        class: args::value(matches, "class"),
        token: args::value(matches, "token"),
        model: args::value(matches, "model"),
        request_id: "capacity".to_owned(),
        prompt: "hold".to_owned(),
        ..Call::default()
    };
    let calls = (0..count).map(|idx| long_call(&call, idx)).collect();
    let caller = Caller::new(CallerSettings::default());
    let timeout = Duration::from_millis(args::value(matches, "open-timeout-ms"));
    let router = args::value(matches, "router");
    let open = OpenStreams::open(&caller, router, calls, timeout, &SystemClock).await?;

    let sampler = SamplerSettings {
        pid: Pid(args::value(matches, "pid")),
        window_ms: args::value(matches, "window-ms"),
    };
    let (role, size) = ("router".to_owned(), count as f64);
    let label = SampleLabel { role, driver: Driver::Streams, size, held: Vec::new() };
    let sample = sample_process(sampler, label, &NoWireBytes, &SystemClock).await?;
    drop(open);
    append(&args::value::<PathBuf>(matches, "samples"), &sample)
}
