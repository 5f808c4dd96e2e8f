//! Settings of a control VM, read from one INI file.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::Context;
use consensus::NodeId;
use ini_settings::{Document, Faults, SectionReader};
use rpc::Trust;

use crate::{Founding, address_book::node_named_after};

const SECTIONS: [&str; 2] = ["control", "peers"];
const MILLISECONDS: &str = "a whole number of milliseconds, such as 250";
/// A lost heartbeat or two must not lead to an election.
const HEARTBEATS_PER_TIMEOUT: u64 = 3;
const ADDRESS: &str = "ADDRESS:PORT, such as 10.0.0.1:7100";

/// What a control VM is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The number of this node, kept for the node's whole life.
    pub node: NodeId,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// Where routers, peers and operators connect.
    pub listen: SocketAddr,
    /// Where metrics and health are served.
    pub admin_listen: SocketAddr,
    /// The one folder below which everything is kept.
    pub data_dir: PathBuf,
    /// Where an operators' front listens, if the daemon is built with one.
    pub operators_listen: Option<SocketAddr>,
    /// Where the platform's list of servers is asked for, if there is one.
    pub platform: Option<SocketAddr>,
    /// Time between two readings of that list.
    pub platform_period_ms: u64,
    /// The files of the tokens; none on a network on which every process is trusted.
    pub token_files: Option<TokenFiles>,
    /// How many members may vote; further ones stay learners.
    pub voters_max: usize,
    /// After how many applied entries a snapshot is taken.
    pub snapshot_every_entries: u64,
    /// How often a leader sends heartbeats.
    pub heartbeat_ms: u64,
    /// The shortest silence after which a member looks for a new leader; the lease is about as
    /// long.
    pub election_timeout_ms: u64,
    /// The log filter.
    pub log: String,
    /// The control VMs that the operators numbered, this one included; empty if nodes are named
    /// after their addresses.
    pub peers: BTreeMap<NodeId, SocketAddr>,
    /// The control VMs that this one asks first when nodes are named after their addresses.
    pub seeds: Vec<NodeId>,
    /// Whether the seeds found a cluster if their disks are empty.
    pub founding: Founding,
}

/// The files of the tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenFiles {
    /// The token that operators' and routers' commands carry.
    pub command: PathBuf,
    /// The token that control VMs show one another.
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
            platform: None,
            platform_period_ms: 1_000,
            token_files: None,
            voters_max: 5,
            snapshot_every_entries: 1000,
            heartbeat_ms: 250,
            election_timeout_ms: 1_500,
            log: "info".to_owned(),
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            founding: Founding::Join,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, and all faults in it at once.
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
        document.check_section_names(&SECTIONS, &mut faults);
        let peers = read_peers(&document, &mut faults);
        let settings = read_control(&document, &peers, &mut faults);
        let settings = Settings { peers, ..settings };
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
        platform: reader.optional("platform", ADDRESS),
        platform_period_ms: reader.or_default(
            "platform_period_ms",
            MILLISECONDS,
            defaults.platform_period_ms,
        ),
        data_dir: path(reader.required("data_dir", "the folder for all state")),
        token_files: read_token_files(&mut reader),
        voters_max: reader.or_default("voters_max", "an odd number", voters_default),
        snapshot_every_entries: reader.or_default(
            "snapshot_every_entries",
            "a whole number",
            defaults.snapshot_every_entries,
        ),
        heartbeat_ms: reader.or_default("heartbeat_ms", MILLISECONDS, defaults.heartbeat_ms),
        election_timeout_ms: reader.or_default(
            "election_timeout_ms",
            MILLISECONDS,
            defaults.election_timeout_ms,
        ),
        log: reader.or_default("log", "a filter such as info", defaults.log),
        seeds: read_seeds(&mut reader, listen),
        founding: match reader.or_default("found", "true or false", false) {
            true => Founding::Found,
            false => Founding::Join,
        },
        ..defaults
    };
    if settings.heartbeat_ms * HEARTBEATS_PER_TIMEOUT > settings.election_timeout_ms {
        reader.fault(
            "election_timeout_ms",
            "is short of three heartbeats",
            "make it longer, or heartbeat_ms shorter",
        );
    }
    if settings.voters_max.is_multiple_of(2) {
        reader.fault("voters_max", "is even", "write 1, 3 or 5");
    }
    reader.finish();
    settings
}

/// The node's number, or its name after the address it listens on where nodes have no numbers.
fn read_node(
    reader: &mut SectionReader<'_>,
    listen: SocketAddr,
    peers: &BTreeMap<NodeId, SocketAddr>,
) -> NodeId {
    if !peers.is_empty() {
        return NodeId(reader.required("node", "the number of this node, such as 1"));
    }
    node_named_after(listen).unwrap_or_else(|| {
        reader.fault("listen", "names no node", "write an IPv4 address or number the nodes");
        NodeId::default()
    })
}

/// The seeds by the hosts of their addresses; the port is the one that all control VMs share.
fn read_seeds(reader: &mut SectionReader<'_>, listen: SocketAddr) -> Vec<NodeId> {
    let seeds: Vec<SocketAddr> = reader.list("seeds", "addresses and ports separated by commas");
    let on_port = |it: &SocketAddr| node_named_after(SocketAddr::new(it.ip(), listen.port()));
    seeds.iter().filter_map(on_port).collect()
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
