//! Settings of a control VM, read from one INI file.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::Context;
use consensus::NodeId;
use ini_settings::{Document, Faults};

const SECTIONS: [&str; 2] = ["control", "peers"];
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
    /// The file with the token that operators' and routers' commands carry.
    pub command_token_file: PathBuf,
    /// The file with the token that control VMs show one another.
    pub peer_token_file: PathBuf,
    /// How many members may vote; further ones stay learners.
    pub voters_max: usize,
    /// After how many applied entries a snapshot is taken.
    pub snapshot_every_entries: u64,
    /// The log filter.
    pub log: String,
    /// The control VMs by node, this one included.
    pub peers: BTreeMap<NodeId, SocketAddr>,
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
            command_token_file: PathBuf::new(),
            peer_token_file: PathBuf::new(),
            voters_max: 5,
            snapshot_every_entries: 1000,
            log: "info".to_owned(),
            peers: BTreeMap::new(),
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
        let settings = Settings { peers, ..read_control(&document, &mut faults) };
        if !settings.peers.contains_key(&settings.node) {
            let section = document.section_or_empty("peers");
            let remedy = "list every control VM, this one included, as NODE = ADDRESS:PORT";
            document.read(&section, &mut faults).fault("node", "this node is not listed", remedy);
        }
        faults.or_value(settings)
    }
}

fn read_control(document: &Document, faults: &mut Faults) -> Settings {
    let defaults = Settings::default();
    let section = document.section_or_empty("control");
    let mut reader = document.read(&section, faults);
    let path = |it: String| PathBuf::from(it);
    let settings = Settings {
        node: NodeId(reader.required("node", "the number of this node, such as 1")),
        failure_domain: reader.required("failure_domain", "the failure domain of this VM"),
        listen: reader.optional("listen", ADDRESS).unwrap_or(defaults.listen),
        admin_listen: reader.optional("admin_listen", ADDRESS).unwrap_or(defaults.admin_listen),
        data_dir: path(reader.required("data_dir", "the folder for all state")),
        command_token_file: path(reader.required("command_token_file", "a file with a token")),
        peer_token_file: path(reader.required("peer_token_file", "a file with a token")),
        voters_max: reader.or_default("voters_max", "an odd number", defaults.voters_max),
        snapshot_every_entries: reader.or_default(
            "snapshot_every_entries",
            "a whole number",
            defaults.snapshot_every_entries,
        ),
        log: reader.or_default("log", "a filter such as info", defaults.log),
        peers: BTreeMap::new(),
    };
    if settings.voters_max.is_multiple_of(2) {
        reader.fault("voters_max", "is even", "write 1, 3 or 5");
    }
    reader.finish();
    settings
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
