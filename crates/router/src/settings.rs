//! The daemon's settings file.

use std::{net::SocketAddr, path::PathBuf};

use httpio::{
    Limits,
    client::PoolSettings,
    server::{ConnectionBound, ServerSettings},
};
use ini_settings::{Document, Faults, SectionReader};
use rpc::Trust;

use crate::{backends::BackendSettings, services::Timeouts};

const MILLISECONDS: &str = "a whole number of milliseconds, such as 2000";
const BYTES: &str = "a whole number of bytes, such as 65536";
const COUNT: &str = "a whole number";
const ADDRESS: &str = "an IP address and port, such as 10.0.0.5:8080";
const FILE: &str = "the path of a file";

/// Settings of a router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// The name of the VM.
    pub vm: String,
    /// The failure domain of the VM.
    pub failure_domain: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where health and metrics are asked for.
    pub admin_listen: SocketAddr,
    /// The filter of the log.
    pub log: String,
    /// How many routers share the workspaces' limits, this one included.
    pub routers: u32,
    /// How long the router serves on after it has become unready.
    pub drain_delay_ms: u64,
    /// Where the tables and workspaces come from.
    pub files: Files,
    /// The control VMs, those of the own failure domain first; the tables come from files where
    /// there are none.
    pub control: Vec<SocketAddr>,
    /// What proves to the control VMs that this router belongs to the system.
    pub trust: Trust,
    /// The admin listeners of the other routers of the failure domain.
    pub peers: Vec<SocketAddr>,
    /// Time between two readings of a peer's quarantine.
    pub peer_period_ms: u64,
    /// Time between two exchanges with the hub of the failure domain.
    pub exchange_period_ms: u64,
    /// Where the platform's list of VMs is asked for, if there is one.
    pub platform: Option<SocketAddr>,
    /// Time between two readings of that list.
    pub platform_period_ms: u64,
    /// Bounds of callers' connections.
    pub server: Server,
    /// Connections to backend servers.
    pub backends: BackendSettings,
    /// Timeouts within a request.
    pub timeouts: Timeouts,
}

/// Files that the settings name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Files {
    /// The table of routes.
    pub routes: Option<PathBuf>,
    /// The table of pools.
    pub pools: Option<PathBuf>,
    /// The workspaces with their tokens.
    pub workspaces: Option<PathBuf>,
    /// The token for commands to the control VMs.
    pub command_token: Option<PathBuf>,
}

/// Bounds of the listener for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// Bounds of each connection.
    pub limits: Limits,
    /// The most open connections.
    pub connections_max: usize,
}

impl Default for Server {
    fn default() -> Self {
        Server { limits: Limits::default(), connections_max: ConnectionBound::default().0 }
    }
}

impl Server {
    /// The settings of the listener.
    #[must_use]
    pub fn to_settings(&self) -> ServerSettings {
        let connections = ConnectionBound(self.connections_max);
        ServerSettings { limits: self.limits.into(), connections }
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        RouterSettings {
            vm: String::new(),
            failure_domain: String::new(),
            listen: loopback,
            admin_listen: loopback,
            log: "info".to_owned(),
            routers: 1,
            drain_delay_ms: 5_000,
            files: Files::default(),
            control: Vec::new(),
            trust: Trust::Tokens,
            peers: Vec::new(),
            peer_period_ms: 500,
            exchange_period_ms: 1_000,
            platform: None,
            platform_period_ms: 1_000,
            server: Server::default(),
            backends: BackendSettings::default(),
            timeouts: Timeouts::default(),
        }
    }
}

impl RouterSettings {
    /// Reads settings; `name` stands for the file in faults.
    ///
    /// # Errors
    /// Every fault at once.
    pub fn parse(name: &str, text: &str) -> Result<RouterSettings, Faults> {
        let doc = Document::parse(name, text)?;
        let mut faults = Faults::default();
        doc.check_section_names(&["router", "callers", "backends", "waits"], &mut faults);
        let mut settings = read_router(&doc, &mut faults);
        read_section(&doc, "callers", &mut faults, |it| read_callers(it, &mut settings.server));
        read_section(&doc, "backends", &mut faults, |it| {
            read_backends(it, &mut settings.backends);
        });
        read_section(&doc, "waits", &mut faults, |it| read_timeouts(it, &mut settings.timeouts));
        faults.into_result(settings)
    }
}

fn read_section(
    doc: &Document,
    name: &str,
    faults: &mut Faults,
    read: impl FnOnce(&mut SectionReader<'_>),
) {
    let section = doc.section_or_empty(name);
    let mut reader = doc.read(&section, faults);
    read(&mut reader);
    reader.finish();
}

fn read_router(doc: &Document, faults: &mut Faults) -> RouterSettings {
    let default = RouterSettings::default();
    let section = doc.section_or_empty("router");
    let mut reader = doc.read(&section, faults);
    let settings = RouterSettings {
        vm: reader.required("vm", "the name of the VM"),
        failure_domain: reader.required("failure_domain", "the name of the failure domain"),
        listen: reader.optional("listen", ADDRESS).unwrap_or(default.listen),
        admin_listen: reader.optional("admin_listen", ADDRESS).unwrap_or(default.admin_listen),
        log: reader.or_default("log", "a filter such as info", default.log),
        routers: reader.or_default("routers", COUNT, default.routers),
        drain_delay_ms: reader.or_default("drain_delay_ms", MILLISECONDS, default.drain_delay_ms),
        files: Files {
            routes: reader.optional("routes_file", FILE),
            pools: reader.optional("pools_file", FILE),
            workspaces: reader.optional("workspaces_file", FILE),
            command_token: reader.optional("command_token_file", FILE),
        },
        peers: reader.list("peers", "addresses and ports separated by commas"),
        peer_period_ms: reader.or_default("peer_period_ms", MILLISECONDS, default.peer_period_ms),
        exchange_period_ms: reader.or_default(
            "exchange_period_ms",
            MILLISECONDS,
            default.exchange_period_ms,
        ),
        platform: reader.optional("platform", ADDRESS),
        platform_period_ms: reader.or_default(
            "platform_period_ms",
            MILLISECONDS,
            default.platform_period_ms,
        ),
        control: read_control(&mut reader),
        trust: reader.or_default("trust", "tokens or network", default.trust),
        ..default
    };
    let has_tables = settings.files.routes.is_some() && settings.files.pools.is_some();
    if settings.control.is_empty() && !has_tables {
        reader.fault(
            "control",
            "the tables come from nowhere",
            "name control VMs, or routes_file and pools_file",
        );
    }
    let needs_token = !settings.control.is_empty() && settings.trust == Trust::Tokens;
    if needs_token && settings.files.command_token.is_none() {
        reader.fault("command_token_file", "is missing beside control", "name the token's file");
    }
    reader.finish();
    settings
}

/// The control VMs; with a port of its own, only the hosts of their addresses count.
fn read_control(reader: &mut SectionReader<'_>) -> Vec<SocketAddr> {
    let control: Vec<SocketAddr> =
        reader.list("control", "addresses and ports separated by commas");
    let port: Option<u16> = reader.optional("control_port", "a port");
    let on_port = |it: SocketAddr| SocketAddr::new(it.ip(), port.unwrap_or(it.port()));
    control.into_iter().map(on_port).collect()
}

fn read_callers(reader: &mut SectionReader<'_>, server: &mut Server) {
    let limits = &mut server.limits;
    read(reader, "head_bytes_max", BYTES, &mut limits.head_bytes);
    read(reader, "header_count_max", COUNT, &mut limits.header_count);
    read(reader, "body_bytes_max", BYTES, &mut limits.body_bytes);
    read(reader, "chunk_bytes_max", BYTES, &mut limits.chunk_bytes);
    read(reader, "head_timeout_ms", MILLISECONDS, &mut limits.head_timeout_ms);
    read(reader, "write_timeout_ms", MILLISECONDS, &mut limits.write_timeout_ms);
    read(reader, "keep_alive_ms", MILLISECONDS, &mut limits.keep_alive_ms);
    read(reader, "closing_grace_ms", MILLISECONDS, &mut limits.closing_grace_ms);
    read(reader, "connections_max", COUNT, &mut server.connections_max);
}

fn read_backends(reader: &mut SectionReader<'_>, backends: &mut BackendSettings) {
    let PoolSettings { limits, idle_per_server, idle_age_ms } = &mut backends.pool;
    read(reader, "connect_timeout_ms", MILLISECONDS, &mut limits.connect_timeout_ms);
    read(reader, "write_timeout_ms", MILLISECONDS, &mut limits.write_timeout_ms);
    read(reader, "answer_bytes_max", BYTES, &mut limits.body_bytes);
    read(reader, "chunk_bytes_max", BYTES, &mut limits.chunk_bytes);
    read(reader, "unsized_answers", "refused or until-close", &mut limits.unsized_body);
    read(reader, "idle_per_server_max", COUNT, idle_per_server);
    read(reader, "idle_age_ms", MILLISECONDS, idle_age_ms);
    read(reader, "probe_timeout_ms", MILLISECONDS, &mut backends.probe_timeout_ms);
}

fn read_timeouts(reader: &mut SectionReader<'_>, timeouts: &mut Timeouts) {
    read(reader, "first_silence_ms", MILLISECONDS, &mut timeouts.first_silence_ms);
    read(reader, "silence_ms", MILLISECONDS, &mut timeouts.silence_ms);
    read(reader, "resumes_max", COUNT, &mut timeouts.resumes_max);
    read(reader, "engine_call_timeout_ms", MILLISECONDS, &mut timeouts.engine_call_timeout_ms);
    read(reader, "ledger_timeout_ms", MILLISECONDS, &mut timeouts.ledger_timeout_ms);
}

/// Reads a value in place of its default.
fn read<T: std::str::FromStr + Clone>(
    reader: &mut SectionReader<'_>,
    key: &str,
    expected: &str,
    value: &mut T,
) {
    *value = reader.or_default(key, expected, value.clone());
}
