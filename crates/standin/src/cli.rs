//! The command line of `gooseberry-standin`.

use std::fs;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use ini_settings::Document;

use crate::{
    EngineSettings, LookupSettings, OnCrash, OrderSettings, PlatformSettings, ServerSettings,
    ServiceSettings, settings,
};

/// What one run of the program does.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Where and how it listens.
    pub server: ServerSettings,
    /// Which service it is.
    pub service: ServiceSettings,
}

/// The program's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("gooseberry-standin")
        .about("Stands in for the systems that gooseberrygw serves")
        .subcommand_required(true)
        .subcommand(service("engine", "A model engine"))
        .subcommand(service("orders", "An order service that counts every execution"))
        .subcommand(service("lookup", "A lookup service"))
        .subcommand(service("platform", "The platform's list of VMs"))
}

fn service(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("listen").long("listen").value_name("ADDRESS").help("Where to listen"))
        .arg(Arg::new("config").long("config").value_name("FILE").help("Settings in INI"))
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("SECTION.KEY=VALUE")
                .action(ArgAction::Append)
                .help("A setting that goes before the file's; may be repeated"),
        )
}

/// Reads the settings that the arguments name.
///
/// # Errors
/// All faults of the settings, or that a file can't be read.
pub fn invocation(matches: &ArgMatches) -> anyhow::Result<Invocation> {
    let (name, matches) = matches.subcommand().context("name a service: see --help")?;
    let mut server = ServerSettings { on_crash: OnCrash::ExitProcess, ..ServerSettings::default() };
    let mut service = match name {
        "engine" => ServiceSettings::Engine(EngineSettings::default()),
        "orders" => ServiceSettings::Orders(OrderSettings::default()),
        "lookup" => ServiceSettings::Lookup(LookupSettings::default()),
        _ => ServiceSettings::Platform(PlatformSettings::default()),
    };
    if let Some(path) = matches.get_one::<String>("config") {
        let text = fs::read_to_string(path).with_context(|| format!("read the settings {path}"))?;
        settings::apply(&Document::parse(path, &text)?, &mut server, &mut service)?;
    }
    let given = matches.get_many::<String>("set").unwrap_or_default();
    for setting in given {
        settings::apply(&set_document(setting)?, &mut server, &mut service)?;
    }
    if let Some(listen) = matches.get_one::<String>("listen") {
        let setting = format!("server.listen={listen}");
        settings::apply(&set_document(&setting)?, &mut server, &mut service)?;
    }
    Ok(Invocation { server, service })
}

/// Makes the INI text of one setting, so that it is read like a file's.
fn set_document(setting: &str) -> anyhow::Result<Document> {
    let (name, value) = setting.split_once('=').context("write --set SECTION.KEY=VALUE")?;
    let (section, key) = name.rsplit_once('.').context("write --set SECTION.KEY=VALUE")?;
    let text = format!("[{section}]\n{key} = {value}\n");
    Ok(Document::parse(&format!("--set {setting}"), &text)?)
}
