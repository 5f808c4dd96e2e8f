//! The command line of `gooseberry-standin`.

use std::fs;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use ini_settings::Document;

use crate::{
    EngineSettings, LookupSettings, OnCrash, OrderSettings, PlatformSettings, ServerSettings,
    ServiceSettings, settings,
};

/// The service to run and its settings, as read from the command line.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Settings of the listener.
    pub server: ServerSettings,
    /// The service and its settings.
    pub service: ServiceSettings,
}

/// Defines the command line.
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
/// Fails if the settings file cannot be read or any setting is invalid.
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

/// Converts one `--set` argument to an INI document, so that it is read like a file.
fn set_document(setting: &str) -> anyhow::Result<Document> {
    let (name, value) = setting.split_once('=').context("write --set SECTION.KEY=VALUE")?;
    let (section, key) = name.rsplit_once('.').context("write --set SECTION.KEY=VALUE")?;
    let text = format!("[{section}]\n{key} = {value}\n");
    Ok(Document::parse(&format!("--set {setting}"), &text)?)
}
