//! Parses the settings file of the daemon.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use daemon::client_connections_fitting;
use httpio::{
    Limits,
    client::PoolSettings,
    server::{ConnectionBound, ReceiveBuffer},
};
use ini_settings::{Document, Fault, Faults, SectionReader};
use rpc::Trust;

use crate::{
    backends::BackendSettings,
    memory::{connections_fitting, receive_buffer},
    services::Timeouts,
};

const MILLISECONDS: &str = "a whole number of milliseconds, such as 2000";
const SECONDS: &str = "a number of seconds, such as 8 or 7.5";
/// Less than the time after which supervisors usually kill a process.
const STOP_GRACE: Duration = Duration::from_secs(8);
const BYTES: &str = "a whole number of bytes, such as 65536";
const MEBIBYTES: &str = "a whole number of MiB, such as 256";
const COUNT: &str = "a whole number";
const ADDRESS: &str = "an IP address and port, such as 10.0.0.5:8080";
/// The largest limit of hedges: repeats of all kinds are bounded by this part of the requests.
const HEDGE_PERMILLE_MAX: u32 = 200;
/// The duty of reporting usage.
const METERING: &str = "metering";
/// The length of the windows of usage unless the settings name one; equal to the default of the control VMs.
const USAGE_WINDOW: Duration = Duration::from_secs(5);
/// The part of the connections that is for other routers, which keep few open: one in so many.
const FORWARDED_PART: usize = 8;
const FORWARDED_MIN: usize = 16;
const FILE: &str = "the path of a file";

/// Settings of a router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// The name of the VM.
    pub vm: String,
    /// The failure domain of the VM.
    pub failure_domain: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// The address that other routers forward requests to; without it, none is forwarded to this router.
    pub forward_listen: Option<SocketAddr>,
    /// The log filter.
    pub log: String,
    /// The memory of the VM, in MiB. What the router holds is bounded by it.
    pub memory_mb: usize,
    /// The file descriptors that the router may open, if that is less than the system allows.
    pub descriptors_max: Option<usize>,
    /// The number of routers that share the workspaces' limits, including this one.
    pub routers: u32,
    /// How long the router keeps serving new requests after it reports itself as draining.
    pub drain_delay_ms: u64,
    /// The time between a stop request and the kill of the process.
    pub stop_grace: Duration,
    /// The files of the tables, the workspaces and the command token.
    pub files: Files,
    /// The control VMs, those of the own failure domain first; the list may be empty until a reload
    /// names some. `None` if the tables are read from files.
    pub control: Option<Vec<SocketAddr>>,
    /// How the router authenticates to the control VMs.
    pub trust: Trust,
    /// The admin listeners of the other routers of the failure domain.
    pub peers: Vec<SocketAddr>,
    /// The interval between two polls of a peer's quarantine.
    pub peer_period_ms: u64,
    /// The interval between two exchanges with the hub of the failure domain.
    pub exchange_period_ms: u64,
    /// The address that serves the platform's list of VMs, if there is one.
    pub platform: Option<SocketAddr>,
    /// The interval between two reads of that list.
    pub platform_period_ms: u64,
    /// Second attempts of slow requests allowed per thousand requests of a class in a pool; 0 for none.
    pub hedge_permille: u32,
    /// The length of the windows by which usage is counted; `None` where it is not metered.
    pub usage_window: Option<Duration>,
    /// Limits of callers' connections.
    pub server: CallerListener,
    /// Settings of the connections to backend servers.
    pub backends: BackendSettings,
    /// Timeouts within a request.
    pub timeouts: Timeouts,
    /// Names in the file that this build does not know.
    pub unknown: Vec<Fault>,
}

/// The files named in the settings.
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

/// Limits of the listener for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerListener {
    /// Limits of each connection.
    pub limits: Limits,
    /// The maximum number of open connections; there are fewer if the memory of the VM demands it.
    pub connections_max: usize,
}

impl Default for CallerListener {
    fn default() -> Self {
        CallerListener { limits: Limits::default(), connections_max: ConnectionBound::default().0 }
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
            forward_listen: None,
            log: "info".to_owned(),
            memory_mb: 1_024,
            descriptors_max: None,
            routers: 1,
            drain_delay_ms: 5_000,
            stop_grace: STOP_GRACE,
            files: Files::default(),
            control: None,
            trust: Trust::Tokens,
            peers: Vec::new(),
            peer_period_ms: 500,
            exchange_period_ms: 1_000,
            platform: None,
            platform_period_ms: 1_000,
            hedge_permille: 0,
            usage_window: None,
            server: CallerListener::default(),
            backends: BackendSettings::default(),
            timeouts: Timeouts::default(),
            unknown: Vec::new(),
        }
    }
}

/// The bounds on the connections of the listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Of callers.
    pub callers: ConnectionBound,
    /// Of other routers.
    pub forwarded: ConnectionBound,
}

impl RouterSettings {
    /// The bounds on connections that follow from the memory of the VM, from its descriptors and from the settings.
    #[must_use]
    pub fn connection_bounds(&self) -> ConnectionBounds {
        let fitting = connections_fitting(self.memory_mb)
            .min(client_connections_fitting(self.descriptors_max));
        let forwarded = match self.forward_listen {
            Some(_) => (fitting / FORWARDED_PART).max(FORWARDED_MIN).min(fitting / 2),
            None => 0,
        };
        let configured = self.server.connections_max;
        ConnectionBounds {
            callers: ConnectionBound(configured.min(fitting - forwarded)),
            forwarded: ConnectionBound(configured.min(forwarded)),
        }
    }

    /// The receive buffer of each connection.
    #[must_use]
    pub fn receive_buffer(&self) -> ReceiveBuffer {
        let ConnectionBounds { callers, forwarded } = self.connection_bounds();
        receive_buffer(self.memory_mb, callers.0 + forwarded.0)
    }

    /// Parses settings; `name` is the name of the file in faults.
    ///
    /// # Errors
    /// All faults at once.
    pub fn parse(name: &str, text: &str) -> Result<RouterSettings, Faults> {
        let doc = Document::parse(name, text)?;
        let mut faults = Faults::default();
        doc.note_section_names(&["router", "callers", "backends", "waits"], &mut faults);
        let mut settings = read_router(&doc, &mut faults);
        read_section(&doc, "callers", &mut faults, |it| read_callers(it, &mut settings.server));
        read_section(&doc, "backends", &mut faults, |it| {
            read_backends(it, &mut settings.backends);
        });
        read_section(&doc, "waits", &mut faults, |it| read_timeouts(it, &mut settings.timeouts));
        settings.unknown = faults.unknown().to_vec();
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
    reader.finish_tolerant();
}

fn read_router(doc: &Document, faults: &mut Faults) -> RouterSettings {
    let default = RouterSettings::default();
    let section = doc.section_or_empty("router");
    let mut reader = doc.read(&section, faults);
    let mut settings = RouterSettings {
        vm: reader.required("vm", "the name of the VM"),
        failure_domain: reader.required("failure_domain", "the name of the failure domain"),
        listen: reader.optional("listen", ADDRESS).unwrap_or(default.listen),
        admin_listen: reader.optional("admin_listen", ADDRESS).unwrap_or(default.admin_listen),
        forward_listen: reader.optional("forward_listen", ADDRESS),
        log: reader.or_default("log", "a filter such as info", default.log),
        memory_mb: reader.advisory("memory_mb", MEBIBYTES, default.memory_mb),
        descriptors_max: read_descriptors_max(&mut reader),
        routers: reader.or_default("routers", COUNT, default.routers),
        drain_delay_ms: reader.or_default("drain_delay_ms", MILLISECONDS, default.drain_delay_ms),
        stop_grace: read_stop_grace(&mut reader),
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
        hedge_permille: read_hedge_permille(&mut reader),
        usage_window: read_usage_window(&mut reader),
        control: read_control(&mut reader),
        trust: reader.or_default("trust", "tokens or network", default.trust),
        ..default
    };
    let has_tables = settings.files.routes.is_some() && settings.files.pools.is_some();
    if has_tables {
        settings.control = settings.control.filter(|it| !it.is_empty());
    }
    if settings.control.is_none() && !has_tables {
        reader.fault(
            "control",
            "no source of the tables is set",
            "name control VMs, or routes_file and pools_file",
        );
    }
    let needs_token = settings.control.is_some() && settings.trust == Trust::Tokens;
    if needs_token && settings.files.command_token.is_none() {
        reader.fault(
            "command_token_file",
            "is missing although control is set",
            "name the token's file",
        );
    }
    reader.finish_tolerant();
    settings
}

/// Reads the limit of second attempts; an empty value counts as not set.
fn read_hedge_permille(reader: &mut SectionReader<'_>) -> u32 {
    let value: String = reader.optional("hedge_permille", COUNT).unwrap_or_default();
    let value = value.trim();
    if value.is_empty() {
        return 0;
    }
    let permille = value.parse().ok().filter(|it| *it <= HEDGE_PERMILLE_MAX);
    permille.unwrap_or_else(|| {
        let remedy = format!("write a whole number from 0 to {HEDGE_PERMILLE_MAX}");
        reader.fault("hedge_permille", &format!("`{value}` does not fit"), &remedy);
        0
    })
}

/// Reads the length of the windows of usage, if metering is among the duties of the deployment.
fn read_usage_window(reader: &mut SectionReader<'_>) -> Option<Duration> {
    let duties: Vec<String> = reader.list("duties", "metering or autoscale, separated by commas");
    let seconds = reader.optional_if_filled("usage_window_s", SECONDS);
    let window = seconds.map_or(Ok(USAGE_WINDOW), Duration::try_from_secs_f64);
    let window = window.ok().filter(|it| *it >= Duration::from_millis(1));
    if window.is_none() {
        let problem = "is not a time of at least 1 ms";
        reader.fault("usage_window_s", problem, &format!("write {SECONDS}"));
    }
    window.filter(|_| duties.iter().any(|it| it == METERING))
}

/// Reads the time until a stopping process is killed.
fn read_stop_grace(reader: &mut SectionReader<'_>) -> Duration {
    let seconds = reader.advisory("stop_grace_s", SECONDS, STOP_GRACE.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_else(|_| {
        let problem = format!("`{seconds}` does not fit");
        reader.fault("stop_grace_s", &problem, &format!("write {SECONDS}"));
        STOP_GRACE
    })
}

/// A limit that cannot be read counts as none, like one that a template had no value for.
fn read_descriptors_max(reader: &mut SectionReader<'_>) -> Option<usize> {
    Some(reader.advisory("descriptors_max", COUNT, usize::MAX)).filter(|it| *it < usize::MAX)
}

/// Reads the addresses of the control VMs; `control_port` replaces their ports if it is set.
fn read_control(reader: &mut SectionReader<'_>) -> Option<Vec<SocketAddr>> {
    let control: Vec<SocketAddr> =
        reader.list("control", "addresses and ports separated by commas");
    let port: Option<u16> = reader.optional("control_port", "a port");
    let on_port = |it: SocketAddr| SocketAddr::new(it.ip(), port.unwrap_or(it.port()));
    reader.is_set("control").then(|| control.into_iter().map(on_port).collect())
}

fn read_callers(reader: &mut SectionReader<'_>, server: &mut CallerListener) {
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

/// Replaces the default in `value` if the key is set.
fn read<T: std::str::FromStr + Clone>(
    reader: &mut SectionReader<'_>,
    key: &str,
    expected: &str,
    value: &mut T,
) {
    *value = reader.or_default(key, expected, value.clone());
}
