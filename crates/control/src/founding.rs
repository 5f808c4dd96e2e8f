//! Formats a data folder: for a new cluster, or to join one.
//!
//! A folder is formatted once. A node whose disk was lost formats a new one to join: its old
//! identity stays out for good, and the leader brings the new one in.

use std::net::SocketAddr;

use anyhow::{bail, ensure};
use consensus::{DiskId, Members, Peer, Snapshot};
use monoio::{LegacyDriver, RuntimeBuilder};
use rpc::{ByteCounters, dial};
use std::time::Duration;
use storage::LogFile;

use crate::Settings;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a formatted folder is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Founding {
    /// The node joins a cluster that runs.
    Join,
    /// The node founds a new cluster and is its only member at first.
    Found,
}

/// Formats the data folder of `settings` and gives the node's identity.
///
/// # Errors
///
/// If the folder holds data already, or a cluster is to be founded while another control VM of
/// the settings belongs to one.
pub fn format(settings: &Settings, founding: Founding) -> anyhow::Result<Peer> {
    if founding == Founding::Found {
        refuse_second_cluster(settings)?;
    }
    let sizes = storage::Settings::default();
    let disk = storage::format(&settings.data_dir, &sizes)?;
    let me = Peer { node: settings.node, disk };
    if founding == Founding::Found {
        let mut log = LogFile::open(&settings.data_dir, &sizes)?;
        log.bootstrap(Snapshot::bootstrap(Members::of_voters([me])))?;
    }
    Ok(me)
}

/// The disk id of the first members, which all of them know before any of them runs.
const FOUNDING_DISK: DiskId = DiskId(1);

/// Formats the data folder if it is empty, without an operator.
///
/// The seeds found the cluster together: each starts with the same list of members, so none has to
/// wait for another, and no two clusters can come to be. Whoever is not a seed, or has lost its
/// disk, joins under a new disk id.
///
/// # Errors
///
/// If the folder cannot be written.
pub fn prepare(settings: &Settings) -> anyhow::Result<()> {
    if storage::is_formatted(&settings.data_dir) {
        return Ok(());
    }
    let sizes = storage::Settings::default();
    let is_founder =
        settings.founding == Founding::Found && settings.seeds.contains(&settings.node);
    if !is_founder {
        let disk = storage::format(&settings.data_dir, &sizes)?;
        tracing::info!(event = "disk_formatted", %disk, purpose = "join");
        return Ok(());
    }
    let voters = settings.seeds.iter().map(|node| Peer { node: *node, disk: FOUNDING_DISK });
    let start = Snapshot::bootstrap(Members::of_voters(voters));
    storage::format_bootstrap_member(&settings.data_dir, &sizes, FOUNDING_DISK, start)?;
    tracing::info!(event = "disk_formatted", disk = %FOUNDING_DISK, purpose = "found");
    Ok(())
}

fn refuse_second_cluster(settings: &Settings) -> anyhow::Result<()> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let others = settings.peers.iter().filter(|(node, _)| **node != settings.node);
    for (node, addr) in others {
        if runtime.block_on(has_cluster(*addr))? {
            bail!("node {node} belongs to a cluster already: format without --found to join it");
        }
    }
    Ok(())
}

async fn has_cluster(addr: SocketAddr) -> anyhow::Result<bool> {
    let Ok(connection) = dial(addr, CONNECT_TIMEOUT, &ByteCounters::default()).await else {
        return Ok(false);
    };
    let status: serde_json::Value = serde_json::from_str(&connection.client.status().await?)?;
    let voters = status.get("voters").and_then(|it| it.as_array());
    ensure!(voters.is_some(), "{addr} gave no list of voters: run one version everywhere");
    Ok(voters.is_some_and(|it| !it.is_empty()))
}
