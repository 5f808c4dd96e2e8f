//! Argument builders and file helpers shared by the subcommands.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use load::loopback::LoopbackAddr;
use serde::Serialize;

/// A required loopback address.
pub(crate) fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDR")
        .help(help)
        .value_parser(value_parser!(LoopbackAddr))
        .required(true)
}

/// An optional, repeatable loopback address.
pub(crate) fn addrs(name: &'static str, help: &'static str) -> Arg {
    addr(name, help).required(false).action(ArgAction::Append)
}

/// A number with a default.
pub(crate) fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

/// A text with a default.
pub(crate) fn word(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("WORD").help(help).default_value(default)
}

/// An optional path.
pub(crate) fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE").help(help).value_parser(value_parser!(PathBuf))
}

/// The values of an argument made by [`addrs`].
pub(crate) fn all_addrs(args: &ArgMatches, name: &str) -> Vec<LoopbackAddr> {
    args.get_many(name).unwrap_or_default().copied().collect()
}

/// The value of an argument that is required or has a default.
pub(crate) fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name).cloned().expect("the argument is required or has a default")
}

/// Writes `content` to the path in the argument `name`, if that argument is present.
pub(crate) fn write_if_given(
    args: &ArgMatches,
    name: &str,
    content: impl FnOnce() -> anyhow::Result<String>,
) -> anyhow::Result<()> {
    let Some(path) = args.get_one::<PathBuf>(name) else { return Ok(()) };
    write(path, &content()?)
}

pub(crate) fn write(path: &Path, content: &str) -> anyhow::Result<()> {
    fs::write(path, content).with_context(|| format!("cannot write {}", path.display()))
}

pub(crate) fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Serializes `data` as indented JSON with a final newline.
pub(crate) fn to_json(data: &impl Serialize) -> anyhow::Result<String> {
    Ok(serde_json::to_string_pretty(data)? + "\n")
}

/// An optional process id.
pub(crate) fn pid(help: &'static str) -> Arg {
    Arg::new("pid").long("pid").value_name("PID").help(help).value_parser(value_parser!(u32))
}
