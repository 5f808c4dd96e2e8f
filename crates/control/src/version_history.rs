//! The software versions of each pool's servers, kept across restarts.
//!
//! A stream that a caller takes up may go on only at the version that began it. Which version that was
//! is known to the router that served it and to the control VMs, in memory. After a kill of all of them
//! nobody knows it; but where a pool has had a single version for longer than streams last, the version
//! is clear. The routers cannot know that when they have just started, so the control VMs keep it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    path::Path,
    rc::Rc,
    sync::mpsc,
    time::{Duration, Instant},
};

use clock::Clock;
use directory::ListedVm;
use dissemination::{Hub, PoolHash, SoleVersion, StreamHash};
use policy::VersionHash;
use serde::{Deserialize, Serialize};
use storage::StateFile;

use crate::saver;

const FILE_NAME: &str = "versions";

/// By how much the wall clock may step between two reads of the list, or across a restart.
const CLOCK_STEP_MAX: Duration = Duration::from_secs(5);

/// How long a version must have been the only one: longer than any stream.
const SOLE_FOR: Duration = StreamHash::TTL.saturating_add(CLOCK_STEP_MAX);

/// A longer time without a list leaves a gap, in which servers of another version may have come and
/// gone.
const GAP_MAX: Duration = Duration::from_secs(10);

/// The interval at which an unchanged history is saved, so that a restart leaves no gap.
const SAVE_INTERVAL: Duration = Duration::from_secs(4);

/// Which versions the list has shown, and until when. Times are in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VersionHistory {
    /// Since when every version that the list has shown is known; zero if that is since the beginning.
    complete_since_ms: u64,
    /// When the list was last read.
    read_ms: u64,
    pools: BTreeMap<String, PoolVersions>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct PoolVersions {
    listed: BTreeSet<String>,
    /// The versions that are no longer listed, with the time at which the list first lacked them.
    gone: BTreeMap<String, u64>,
}

impl VersionHistory {
    /// The history of a cluster that is bootstrapped now and has served nothing yet.
    #[must_use]
    pub fn beginning(now_ms: u64) -> VersionHistory {
        VersionHistory { complete_since_ms: 0, read_ms: now_ms, pools: BTreeMap::new() }
    }

    /// Records a read of the list; `None` if it is the same as at the read before. Returns whether the
    /// history has changed beside the time.
    pub fn record(&mut self, now_ms: u64, list: Option<&[ListedVm]>) -> bool {
        let gap_ms = now_ms.saturating_sub(self.read_ms);
        let has_gap = gap_ms > GAP_MAX.as_millis() as u64;
        if has_gap {
            self.complete_since_ms = now_ms;
        }
        self.read_ms = now_ms;
        let Some(list) = list else { return has_gap };
        let mut listed: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
        for vm in list {
            listed.entry(&vm.pool).or_default().insert(vm.software_version.clone());
        }
        let before = self.pools.clone();
        for pool in listed.keys().filter(|it| !before.contains_key(**it)) {
            self.pools.insert((*pool).to_owned(), PoolVersions::default());
        }
        for (pool, versions) in &mut self.pools {
            versions.update(now_ms, listed.remove(pool.as_str()).unwrap_or_default());
        }
        self.pools.retain(|_, it| !it.listed.is_empty() || !it.gone.is_empty());
        has_gap || self.pools != before
    }

    /// The pools that have had a single version for longer than any stream lasts.
    pub fn sole_versions(&self, now_ms: u64) -> impl Iterator<Item = (&str, &str)> {
        let is_old = move |at_ms: u64| now_ms >= at_ms + SOLE_FOR.as_millis() as u64;
        let is_complete = self.complete_since_ms == 0 || is_old(self.complete_since_ms);
        let pools = self.pools.iter().filter(move |_| is_complete);
        pools.filter_map(move |(pool, versions)| {
            let mut listed = versions.listed.iter();
            let sole = listed.next().filter(|_| listed.next().is_none())?;
            let are_others_old = versions.gone.values().all(|at| is_old(*at));
            are_others_old.then_some((pool.as_str(), sole.as_str()))
        })
    }
}

impl PoolVersions {
    fn update(&mut self, now_ms: u64, listed: BTreeSet<String>) {
        let left = self.listed.difference(&listed).cloned();
        self.gone.extend(left.map(|version| (version, now_ms)));
        let is_recent = |at_ms: u64| now_ms < at_ms + SOLE_FOR.as_millis() as u64;
        self.gone.retain(|version, at_ms| is_recent(*at_ms) && !listed.contains(version));
        self.listed = listed;
    }
}

/// Saves the history of a cluster that is bootstrapped in `folder`.
///
/// # Errors
///
/// If the folder cannot be written.
pub(crate) fn save_beginning(
    folder: &Path,
    clock: &dyn Clock,
) -> Result<(), consensus::StorageError> {
    StateFile::new(folder, FILE_NAME).write(&VersionHistory::beginning(clock.unix_ms()))
}

/// Keeps the history up to date with the list, on disk and at the hub.
pub(crate) struct VersionKeeper {
    history: RefCell<VersionHistory>,
    hub: Rc<RefCell<Hub>>,
    clock: Rc<dyn Clock>,
    saves: mpsc::SyncSender<VersionHistory>,
    saved_at: Cell<Option<Instant>>,
}

impl VersionKeeper {
    /// Reads the history in `folder` and starts the thread that saves it. A history that cannot be read
    /// begins anew.
    pub(crate) fn start(
        folder: &Path,
        hub: Rc<RefCell<Hub>>,
        clock: Rc<dyn Clock>,
    ) -> VersionKeeper {
        let file = StateFile::new(folder, FILE_NAME);
        let saved = file.read::<VersionHistory>().unwrap_or_else(|error| {
            tracing::warn!(event = "versions_unreadable", %error);
            None
        });
        tracing::info!(event = "versions_read", is_known = saved.is_some());
        let saves = saver::start("versions_saved", move |it| file.write(&it));
        let history = RefCell::new(saved.unwrap_or_default());
        VersionKeeper { history, hub, clock, saves, saved_at: Cell::new(None) }
    }

    /// Records a read of the list; `None` if it is the same as at the read before.
    pub(crate) fn list_read(&self, list: Option<&[ListedVm]>) {
        let now_ms = self.clock.unix_ms();
        let has_changed = self.history.borrow_mut().record(now_ms, list);
        self.save_if_due(has_changed);
        let history = self.history.borrow();
        let sole = history.sole_versions(now_ms).map(|(pool, version)| SoleVersion {
            pool: PoolHash::of(pool),
            version: VersionHash::of(pool, version),
        });
        self.hub.borrow_mut().set_sole_versions(sole.collect());
    }

    fn save_if_due(&self, has_changed: bool) {
        let now = self.clock.now();
        let is_saved = self.saved_at.get().is_some_and(|it| now < it + SAVE_INTERVAL);
        if is_saved && !has_changed {
            return;
        }
        // While the disk has not finished earlier saves, the next read of the list tries again.
        let is_queued = self.saves.try_send(self.history.borrow().clone()).is_ok();
        self.saved_at.set(is_queued.then_some(now));
    }
}
