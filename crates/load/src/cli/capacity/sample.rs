//! Samples one process and appends the sample to a file.

use std::{
    fs::OpenOptions,
    io::Write,
    path::{Path, PathBuf},
    rc::Rc,
};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clock::{Clock, SystemClock};
use load::{
    capacity::{
        Driver, HeldSize, MetricsWireBytes, NoWireBytes, Sample, SampleLabel, SamplerSettings,
        WireBytes, sample_process,
    },
    proc_stat::Pid,
};

use crate::cli::args;

pub(crate) fn command() -> Command {
    Command::new("sample")
        .about("Watches a process for a while and adds a sample to a file")
        .arg(args::pid("The process").required(true))
        .arg(args::word("role", "router", "The role of the process"))
        .arg(driver())
        .arg(size())
        .arg(
            Arg::new("held")
                .long("held")
                .value_name("DRIVER=N")
                .help("What is kept meanwhile, such as workspaces=10; may be given more than once")
                .value_parser(value_parser!(HeldSize))
                .action(ArgAction::Append),
        )
        .arg(args::number("window-ms", "5000", "How long the process is watched"))
        .arg(args::addr("metrics", "The admin listener with its counters").required(false))
        .arg(
            Arg::new("byte-counter")
                .long("byte-counter")
                .value_name("NAME")
                .help("A counter of bytes on the wire; may be given more than once")
                .action(ArgAction::Append),
        )
        .arg(args::path("samples", "The file to add to, a JSON document a line").required(true))
}

fn driver() -> Arg {
    Arg::new("driver")
        .long("driver")
        .value_name("WORD")
        .help("What is varied: replicas, workspaces, streams, routers or changes")
        .value_parser(value_parser!(Driver))
        .required(true)
}

fn size() -> Arg {
    Arg::new("size")
        .long("size")
        .value_name("N")
        .help("The size that is set")
        .value_parser(value_parser!(f64))
        .required(true)
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let settings = SamplerSettings {
        pid: Pid(args::value(matches, "pid")),
        window_ms: args::value(matches, "window-ms"),
    };
    let label = SampleLabel {
        role: args::value(matches, "role"),
        driver: args::value(matches, "driver"),
        size: args::value(matches, "size"),
        held: matches.get_many("held").unwrap_or_default().copied().collect(),
    };
    let sample = sample_process(settings, label, &*wire_bytes(matches, &clock), &*clock).await?;
    append(&args::value::<PathBuf>(matches, "samples"), &sample)
}

fn wire_bytes(matches: &ArgMatches, clock: &Rc<dyn Clock>) -> Box<dyn WireBytes> {
    let names = matches.get_many::<String>("byte-counter").unwrap_or_default();
    let names: Vec<String> = names.cloned().collect();
    match matches.get_one("metrics") {
        Some(addr) if !names.is_empty() => {
            Box::new(MetricsWireBytes::new(*addr, names, Rc::clone(clock)))
        }
        _ => Box::new(NoWireBytes),
    }
}

/// Appends `sample` to the file at `path` as one line of JSON and prints it.
pub(crate) fn append(path: &Path, sample: &Sample) -> anyhow::Result<()> {
    let line = serde_json::to_string(sample)?;
    println!("{line}");
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("cannot open {}", path.display()))?;
    writeln!(file, "{line}").with_context(|| format!("cannot write {}", path.display()))
}
