//! Measures the latency, CPU time and memory that the router adds.

use std::rc::Rc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clock::SystemClock;
use load::{
    caller::{Caller, CallerSettings},
    overhead::{Experiment, ExperimentSettings},
    proc_stat::Pid,
};

use super::args;

pub(crate) fn command() -> Command {
    Command::new("overhead")
        .about("Measures the time that a router adds, its relay rate and its memory a stream")
        .arg(args::addr("router", "The router"))
        .arg(args::addr("direct", "The backend server behind it"))
        .arg(args::word("class", "chat", "The class of the measured requests"))
        .arg(args::word("slow-class", "slow", "A class served by a slow backend server"))
        .arg(args::word("token", "", "The workspace's bearer token"))
        .arg(args::word("model", "small", "The model"))
        .arg(args::pid("The router's process, for processor time and memory"))
        .arg(args::number("calls", "2000", "Measured calls to each of the two"))
        .arg(args::number("relay-streams", "50", "Streams at once for the relay rate"))
        .arg(args::number("relay-tokens", "1000", "The most tokens of each of them"))
        .arg(args::number("open-timeout-ms", "20000", "How long opening streams may take"))
        .arg(
            Arg::new("open-streams")
                .long("open-streams")
                .value_name("N")
                .help("Numbers of open streams at which memory is read; none to skip")
                .value_parser(value_parser!(u64))
                .value_delimiter(',')
                .action(ArgAction::Append),
        )
        .arg(args::path("json", "Where to write the report as JSON"))
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let open_streams = matches.get_many::<u64>("open-streams").unwrap_or_default();
    let settings = ExperimentSettings {
        router: args::value(matches, "router"),
        direct: args::value(matches, "direct"),
        slow_class: args::value(matches, "slow-class"),
        class: args::value(matches, "class"),
        token: args::value(matches, "token"),
        model: args::value(matches, "model"),
        pid: matches.get_one::<u32>("pid").copied().map(Pid),
        calls: args::value::<u64>(matches, "calls") as usize,
        relay_streams: args::value::<u64>(matches, "relay-streams") as usize,
        relay_tokens: u32::try_from(args::value::<u64>(matches, "relay-tokens"))?,
        open_streams: open_streams.map(|it| *it as usize).collect(),
        open_timeout_ms: args::value(matches, "open-timeout-ms"),
    };
    let caller = Caller::new(CallerSettings::default());
    let report = Experiment::new(settings, caller, Rc::new(SystemClock)).run().await?;
    print!("{}", report.table());
    args::write_if_given(matches, "json", || args::to_json(&report))
}
