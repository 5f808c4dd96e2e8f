//! Settings of a control VM, read from one INI file.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use ::daemon::client_connections_fitting;
use anyhow::Context;
use consensus::NodeId;
use ini_settings::{Document, Fault, Faults, SectionReader};
use rpc::Trust;

use crate::{
    Duty, DutySettings, FormatMode, address_book::node_id_of, memory::connections_fitting,
};

const SECTIONS: [&str; 2] = ["control", "peers"];
const SECONDS: &str = "a number of seconds, such as 5 or 2.5";
const MEBIBYTES: &str = "a whole number of MiB, such as 256";
const MILLISECONDS: &str = "a whole number of milliseconds, such as 250";
/// The minimum number of heartbeat intervals in an election timeout, so that the loss of one or two
/// heartbeats does not cause an election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;
const ADDRESS: &str = "ADDRESS:PORT, such as 10.0.0.1:7100";

/// The settings of a control VM.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of this node, which never changes.
    pub node: NodeId,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// The address for RPC calls of routers, other control VMs and operators.
    pub listen: SocketAddr,
    /// The address at which metrics and health checks are served.
    pub admin_listen: SocketAddr,
    /// The folder that holds all data of this node.
    pub data_dir: PathBuf,
    /// The address of the operators' API, if the daemon is built with one.
    pub operators_listen: Option<SocketAddr>,
    /// The maximum number of connections to the operators' API.
    pub operator_connections_max: usize,
    /// The memory of the VM, in MiB. What the control VM holds for its clients is bounded by it.
    pub memory_mb: usize,
    /// The file descriptors that the control VM may open, if that is less than the system allows.
    pub descriptors_max: Option<usize>,
    /// The address from which the platform's server list is read, if there is one.
    pub platform: Option<SocketAddr>,
    /// The interval between two reads of that list.
    pub platform_period_ms: u64,
    /// The duties of the deployment.
    pub duties: DutySettings,
    /// The token files; `None` on a network on which every process is trusted.
    pub token_files: Option<TokenFiles>,
    /// The maximum number of voters; further members stay learners.
    pub voters_max: usize,
    /// The number of applied entries between two snapshots.
    pub snapshot_every_entries: u64,
    /// The bytes of applied entries between two snapshots; a state that is larger than this is saved
    /// less often.
    pub snapshot_every_bytes: usize,
    /// The interval at which a leader sends heartbeats.
    pub heartbeat_ms: u64,
    /// The shortest time without a leader's message after which a member starts an election; the
    /// lease is slightly shorter.
    pub election_timeout_ms: u64,
    /// The log filter.
    pub log: String,
    /// The control VMs that the operators numbered, including this one; empty if node ids are
    /// derived from addresses.
    pub peers: BTreeMap<NodeId, SocketAddr>,
    /// The control VMs that this one contacts first when node ids are derived from addresses.
    pub seeds: Vec<NodeId>,
    /// Whether the seeds bootstrap a cluster if their disks are empty.
    pub format_mode: FormatMode,
    /// Names in the file that this build does not know.
    pub unknown: Vec<Fault>,
}

/// The token files.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenFiles {
    /// The token of commands, which operators and routers send.
    pub command: PathBuf,
    /// The token by which control VMs authenticate to one another.
    pub peer: PathBuf,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            node: NodeId(0),
            failure_domain: String::new(),
            listen: unset,
            admin_listen: unset,
            data_dir: PathBuf::new(),
            operators_listen: None,
            operator_connections_max: 256,
            memory_mb: 256,
            descriptors_max: None,
            platform: None,
            platform_period_ms: 1_000,
            duties: DutySettings::default(),
            token_files: None,
            voters_max: 5,
            snapshot_every_entries: 1000,
            snapshot_every_bytes: 2 * 1024 * 1024,
            heartbeat_ms: 250,
            election_timeout_ms: 1_500,
            log: "info".to_owned(),
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            format_mode: FormatMode::Join,
            unknown: Vec::new(),
        }
    }
}

/// The bounds on the connections of the listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Of routers, other control VMs and operators' commands.
    pub rpc: usize,
    /// Of the operators' API.
    pub operators: usize,
}

impl Settings {
    /// The bounds on connections that follow from the memory of the VM, from its descriptors and from the settings.
    #[must_use]
    pub fn connection_bounds(&self) -> ConnectionBounds {
        let fitting = connections_fitting(self.memory_mb)
            .min(client_connections_fitting(self.descriptors_max));
        // Calls of operators lead to no connection of this process.
        ConnectionBounds {
            rpc: fitting.min(rpc::CONNECTIONS_MAX),
            operators: fitting.min(self.operator_connections_max),
        }
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or all faults in it at once.
    pub fn read(path: &Path) -> anyhow::Result<Settings> {
        let name = path.display().to_string();
        let text =
            fs::read_to_string(path).with_context(|| format!("read {name}: check --config"))?;
        Ok(Settings::parse(&name, &text)?)
    }

    /// Reads and checks settings; `source_name` names the file in faults.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn parse(source_name: &str, text: &str) -> Result<Settings, Faults> {
        let document = Document::parse(source_name, text)?;
        let mut faults = Faults::default();
        document.note_section_names(&SECTIONS, &mut faults);
        let peers = read_peers(&document, &mut faults);
        let settings = read_control(&document, &peers, &mut faults);
        let settings = Settings { peers, unknown: faults.unknown().to_vec(), ..settings };
        let is_listed = settings.peers.is_empty() || settings.peers.contains_key(&settings.node);
        if !is_listed {
            let section = document.section_or_empty("peers");
            let remedy = "list every control VM, this one included, as NODE = ADDRESS:PORT";
            document.read(&section, &mut faults).fault("node", "this node is not listed", remedy);
        }
        faults.into_result(settings)
    }
}

fn read_control(
    document: &Document,
    peers: &BTreeMap<NodeId, SocketAddr>,
    faults: &mut Faults,
) -> Settings {
    let defaults = Settings::default();
    let section = document.section_or_empty("control");
    let mut reader = document.read(&section, faults);
    let path = |it: String| PathBuf::from(it);
    let listen = reader.optional("listen", ADDRESS).unwrap_or(defaults.listen);
    let losses_max: Option<usize> = reader.optional("losses_max", "a whole number, such as 1");
    let voters_default = losses_max.map_or(defaults.voters_max, |it| 2 * it + 1);
    let settings = Settings {
        node: read_node(&mut reader, listen, peers),
        failure_domain: reader.required("failure_domain", "the failure domain of this VM"),
        listen,
        admin_listen: reader.optional("admin_listen", ADDRESS).unwrap_or(defaults.admin_listen),
        operators_listen: reader.optional("operators_listen", ADDRESS),
        operator_connections_max: reader.or_default(
            "operator_connections_max",
            "a whole number, such as 256",
            defaults.operator_connections_max,
        ),
        memory_mb: reader.advisory("memory_mb", MEBIBYTES, defaults.memory_mb),
        descriptors_max: read_descriptors_max(&mut reader),
        platform: reader.optional("platform", ADDRESS),
        platform_period_ms: reader.or_default(
            "platform_period_ms",
            MILLISECONDS,
            defaults.platform_period_ms,
        ),
        data_dir: path(reader.required("data_dir", "the folder for all state")),
        duties: read_duties(&mut reader),
        token_files: read_token_files(&mut reader),
        voters_max: reader.or_default("voters_max", "an odd number", voters_default),
        snapshot_every_entries: reader.or_default(
            "snapshot_every_entries",
            "a whole number",
            defaults.snapshot_every_entries,
        ),
        snapshot_every_bytes: reader.or_default(
            "snapshot_every_bytes",
            "a whole number of bytes",
            defaults.snapshot_every_bytes,
        ),
        heartbeat_ms: reader.or_default("heartbeat_ms", MILLISECONDS, defaults.heartbeat_ms),
        election_timeout_ms: reader.or_default(
            "election_timeout_ms",
            MILLISECONDS,
            defaults.election_timeout_ms,
        ),
        log: reader.or_default("log", "a filter such as info", defaults.log),
        seeds: read_seeds(&mut reader, listen),
        format_mode: match reader.or_default("found", "true or false", false) {
            true => FormatMode::Bootstrap,
            false => FormatMode::Join,
        },
        ..defaults
    };
    if settings.heartbeat_ms * HEARTBEATS_PER_ELECTION_TIMEOUT > settings.election_timeout_ms {
        reader.fault(
            "election_timeout_ms",
            "is shorter than three heartbeat intervals",
            "increase it, or decrease heartbeat_ms",
        );
    }
    if settings.voters_max.is_multiple_of(2) {
        reader.fault("voters_max", "is even", "write 1, 3 or 5");
    }
    reader.finish_tolerant();
    settings
}

/// A limit that cannot be read counts as none, like one that a template had no value for.
fn read_descriptors_max(reader: &mut SectionReader<'_>) -> Option<usize> {
    let max = reader.advisory("descriptors_max", "a whole number", usize::MAX);
    Some(max).filter(|it| *it < usize::MAX)
}

/// The node's number, or the id derived from its address where nodes have no numbers.
fn read_node(
    reader: &mut SectionReader<'_>,
    listen: SocketAddr,
    peers: &BTreeMap<NodeId, SocketAddr>,
) -> NodeId {
    if !peers.is_empty() {
        return NodeId(reader.required("node", "the number of this node, such as 1"));
    }
    node_id_of(listen).unwrap_or_else(|| {
        reader.fault(
            "listen",
            "is not an IPv4 address",
            "write an IPv4 address or number the nodes",
        );
        NodeId::default()
    })
}

/// The node ids of the seeds, derived from the hosts of their addresses and the port of this node,
/// which all control VMs share.
fn read_seeds(reader: &mut SectionReader<'_>, listen: SocketAddr) -> Vec<NodeId> {
    let seeds: Vec<SocketAddr> = reader.list("seeds", "addresses and ports separated by commas");
    let on_port = |it: &SocketAddr| node_id_of(SocketAddr::new(it.ip(), listen.port()));
    seeds.iter().filter_map(on_port).collect()
}

fn read_duties(reader: &mut SectionReader<'_>) -> DutySettings {
    let defaults = DutySettings::default();
    let lease_ms = reader.optional_if_filled("duty_lease_ms", MILLISECONDS);
    let settings = DutySettings {
        vm: reader.or_default("vm", "the name of this VM", String::new()),
        duties: reader.list::<Duty>("duties", "metering or autoscale, separated by commas"),
        lease: lease_ms.map_or(defaults.lease, Duration::from_millis),
        usage_window: read_seconds(reader, "usage_window_s", defaults.usage_window),
        usage_late: read_seconds(reader, "usage_late_s", defaults.usage_late),
    };
    // The name is sent in a header field.
    let is_fit = !settings.vm.is_empty() && settings.vm.bytes().all(|it| it.is_ascii_graphic());
    if !settings.duties.is_empty() && !is_fit {
        let remedy = "write the name of this VM in ASCII, by which the platform knows the holder";
        reader.fault("vm", "does not name this VM, although `duties` names duties", remedy);
    }
    if !settings.duties.is_empty() && !reader.is_set("platform") {
        let remedy = "write the address of the platform, or leave `duties` out";
        reader.fault("platform", "is missing, although `duties` names duties", remedy);
    }
    settings
}

/// Reads a time above zero, in seconds.
fn read_seconds(reader: &mut SectionReader<'_>, key: &str, default: Duration) -> Duration {
    let Some(seconds) = reader.optional_if_filled(key, SECONDS) else { return default };
    match Duration::try_from_secs_f64(seconds) {
        Ok(time) if time >= Duration::from_millis(1) => time,
        _ => {
            reader.fault(key, "is not a time of at least 1 ms", &format!("write {SECONDS}"));
            default
        }
    }
}

fn read_token_files(reader: &mut SectionReader<'_>) -> Option<TokenFiles> {
    if reader.or_default("trust", "tokens or network", Trust::Tokens) == Trust::Network {
        return None;
    }
    let command =
        PathBuf::from(reader.required::<String>("command_token_file", "a file with a token"));
    let peer = PathBuf::from(reader.required::<String>("peer_token_file", "a file with a token"));
    Some(TokenFiles { command, peer })
}

fn read_peers(document: &Document, faults: &mut Faults) -> BTreeMap<NodeId, SocketAddr> {
    let section = document.section_or_empty("peers");
    let mut reader = document.read(&section, faults);
    let mut peers = BTreeMap::new();
    for entry in &section.entries {
        let addr: Option<SocketAddr> = reader.optional(&entry.key, ADDRESS);
        match (entry.key.parse(), addr) {
            (Ok(node), Some(addr)) => {
                peers.insert(NodeId(node), addr);
            }
            (Err(_), _) => reader.fault(&entry.key, "is not a node", "write NODE = ADDRESS:PORT"),
            (Ok(_), None) => {}
        }
    }
    reader.finish();
    peers
}
