//! Formats a data folder: for a new cluster, or to join one.
//!
//! A folder is formatted once. A node whose disk was lost formats a new one and joins under a new
//! disk id: its old identity is never admitted again, and the leader adds the new one as a member.

use std::{fs, net::SocketAddr};

use anyhow::{bail, ensure};
use clock::SystemClock;
use consensus::{DiskId, Members, Peer, Snapshot, Storage, StorageError};
use monoio::{LegacyDriver, RuntimeBuilder};
use rpc::{ByteCounters, dial};
use std::time::Duration;
use storage::{LogFile, ReplacedDisk};

use crate::{Settings, disk_writer::passing_reason, version_history};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The purpose of a formatted folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormatMode {
    /// The node joins a running cluster.
    Join,
    /// The node bootstraps a new cluster and is its only member at first.
    Bootstrap,
}

/// Formats the data folder of `settings` and returns the node's identity.
///
/// # Errors
///
/// If the folder already holds data, or a cluster is to be bootstrapped while another control VM of
/// the settings belongs to one.
pub fn format(settings: &Settings, mode: FormatMode) -> anyhow::Result<Peer> {
    if mode == FormatMode::Bootstrap {
        ensure_no_cluster(settings)?;
    }
    let sizes = storage::Settings::default();
    let disk = storage::format(&settings.data_dir, &sizes)?;
    let me = Peer { node: settings.node, disk };
    if mode == FormatMode::Bootstrap {
        let mut log = LogFile::open(&settings.data_dir, &sizes)?;
        log.bootstrap(Snapshot::bootstrap(Members::of_voters([me])))?;
    }
    Ok(me)
}

/// The disk id of all bootstrap members, fixed so that each knows it before any of them runs.
const BOOTSTRAP_DISK: DiskId = DiskId(1);

/// Opens the log in the data folder. A folder that no operator formats is formatted first if it is
/// empty.
///
/// A damaged log, as a loss of power may leave it, is lost: the state is incomplete, so the node must
/// not vote by it. Where no operator formats folders, the node joins anew under a new disk id, as after
/// a loss of its disk.
///
/// # Errors
///
/// If the folder cannot be read or written, or is damaged and formatted by operators.
pub(crate) fn open_log(settings: &Settings) -> Result<LogFile, StorageError> {
    if !settings.peers.is_empty() {
        return LogFile::open(&settings.data_dir, &storage::Settings::default());
    }
    format_if_empty(settings)?;
    match open_whole(settings) {
        Err(error @ StorageError::Corrupt { .. }) => {
            let ReplacedDisk { disk, not_kept } =
                storage::replace_damaged(&settings.data_dir, &storage::Settings::default())?;
            tracing::error!(event = "disk_damaged", %error, new_disk = %disk, purpose = "join");
            if let Some(error) = not_kept {
                tracing::warn!(event = "damaged_log_not_kept", %error);
            }
            open_whole(settings)
        }
        result => result,
    }
}

/// Opens the log and checks that all of its records can be read.
fn open_whole(settings: &Settings) -> Result<LogFile, StorageError> {
    let log = LogFile::open(&settings.data_dir, &storage::Settings::default())?;
    log.load()?;
    Ok(log)
}

/// Formats the data folder if it is empty, without an operator.
///
/// The seeds bootstrap the cluster together: each starts with the same list of members, so none has
/// to wait for another, and two separate clusters cannot arise. A node that is not a seed, or has
/// lost its disk, joins under a new disk id.
///
/// # Errors
///
/// If the folder cannot be written.
fn format_if_empty(settings: &Settings) -> Result<(), StorageError> {
    if storage::is_formatted(&settings.data_dir)? {
        return Ok(());
    }
    let sizes = storage::Settings::default();
    let is_bootstrap_member =
        settings.format_mode == FormatMode::Bootstrap && settings.seeds.contains(&settings.node);
    if !is_bootstrap_member {
        let disk = storage::format(&settings.data_dir, &sizes)?;
        tracing::info!(event = "disk_formatted", %disk, purpose = "join");
        return Ok(());
    }
    let voters = settings.seeds.iter().map(|node| Peer { node: *node, disk: BOOTSTRAP_DISK });
    let start = Snapshot::bootstrap(Members::of_voters(voters));
    // Before the log, whose presence tells that this was done.
    save_beginning(settings)?;
    storage::format_bootstrap_member(&settings.data_dir, &sizes, BOOTSTRAP_DISK, start)?;
    tracing::info!(event = "disk_formatted", disk = %BOOTSTRAP_DISK, purpose = "found");
    Ok(())
}

/// Saves that the software versions are known from the beginning on. Without that, a control VM serves
/// all the same, and takes the versions before its first read of the list for unknown.
fn save_beginning(settings: &Settings) -> Result<(), StorageError> {
    let folder = &settings.data_dir;
    fs::create_dir_all(folder).map_err(|err| StorageError::from_io(folder, &err))?;
    match version_history::save_beginning(folder, &SystemClock) {
        Err(error) if passing_reason(&error).is_none() => {
            tracing::warn!(event = "versions_saved", is_saved = false, %error);
            Ok(())
        }
        result => result,
    }
}

fn ensure_no_cluster(settings: &Settings) -> anyhow::Result<()> {
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
    ensure!(
        voters.is_some(),
        "the status of {addr} has no list of voters: run the same version on all control VMs"
    );
    Ok(voters.is_some_and(|it| !it.is_empty()))
}
