//! The software versions that began streams, kept across restarts.
//!
//! A stream that a caller takes up may go on only at the version that began it. The hub knows the streams of all
//! routers, in memory. After a kill of all processes only the disks of the control VMs tell which of several
//! versions began a stream, so each of them saves what its hub knows.
//!
//! What a hub has learned since the last save is lost with it, and those streams are refused.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use clock::Clock;
use consensus::StorageError;
use dissemination::{BegunStreams, Hub, StreamHash};
use serde::{Deserialize, Serialize};
use storage::{AppendFile, Appender};

use crate::saver;

const FILE_NAME: &str = "streams";

/// The interval of the routers' own exchanges, by which the hub learns of streams.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which the file is begun anew, without the streams that are forgotten by then.
const FILE_AGE_MAX: Duration = StreamHash::TTL;

/// Streams that were saved together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct SavedStreams {
    /// When they were saved, in milliseconds since the Unix epoch.
    saved_ms: u64,
    begun_streams: Vec<BegunStreams>,
}

/// What the thread of the disk is to do.
enum Save {
    /// Begin the file anew.
    Begin(SavedStreams),
    /// Append to the file.
    Append(SavedStreams),
}

/// Saves the streams that the hub knows.
pub(crate) struct StreamKeeper {
    hub: Rc<RefCell<Hub>>,
    clock: Rc<dyn Clock>,
    saves: mpsc::SyncSender<Save>,
    /// The number of the last stream that the thread of the disk was given.
    last_saved: Cell<u64>,
    /// When the file was begun; `None` if it holds what an earlier run saved.
    begun_at: Cell<Option<Instant>>,
    /// How many saves have failed in the thread of the disk.
    failures: Arc<AtomicU64>,
    /// The failures after which the file was begun anew.
    handled_failures: Cell<u64>,
}

impl StreamKeeper {
    /// Tells the hub of the streams in `folder` that are still remembered, and starts the thread that saves new
    /// ones. A file that cannot be read counts as empty.
    pub(crate) fn start(
        folder: &Path,
        hub: Rc<RefCell<Hub>>,
        clock: Rc<dyn Clock>,
    ) -> StreamKeeper {
        let file = AppendFile::new(folder, FILE_NAME);
        restore(&file, &mut hub.borrow_mut(), &*clock);
        let last_saved = Cell::new(hub.borrow().last_stream());
        let failures = Arc::new(AtomicU64::new(0));
        let saves = saver::start("streams_saved", save_to(file, Arc::clone(&failures)));
        StreamKeeper {
            hub,
            clock,
            saves,
            last_saved,
            begun_at: Cell::default(),
            failures,
            handled_failures: Cell::default(),
        }
    }

    /// Saves new streams at a fixed interval for the lifetime of the process.
    pub(crate) async fn keep_saved(self) {
        loop {
            monoio::time::sleep(SAVE_INTERVAL).await;
            self.save_new();
        }
    }

    fn save_new(&self) {
        let last = self.hub.borrow().last_stream();
        let failures = self.failures.load(Ordering::Relaxed);
        let has_failed = failures != self.handled_failures.get();
        if last == self.last_saved.get() && !has_failed {
            return;
        }
        let now = self.clock.now();
        let is_current = self.begun_at.get().is_some_and(|it| now < it + FILE_AGE_MAX);
        let is_appended = is_current && !has_failed;
        let known = if is_appended { self.last_saved.get() } else { 0 };
        let begun_streams = self.hub.borrow().streams_since(known);
        let streams = SavedStreams { saved_ms: self.clock.unix_ms(), begun_streams };
        let save = if is_appended { Save::Append(streams) } else { Save::Begin(streams) };
        // While the disk has not finished earlier saves, the next round tries again.
        if self.saves.try_send(save).is_err() {
            return;
        }
        self.handled_failures.set(failures);
        self.last_saved.set(last);
        if !is_appended {
            self.begun_at.set(Some(now));
        }
    }
}

/// Tells the hub of the saved streams that are still remembered.
fn restore(file: &AppendFile, hub: &mut Hub, clock: &dyn Clock) {
    let saved = file.read::<SavedStreams>().unwrap_or_else(|error| {
        tracing::warn!(event = "streams_unreadable", %error);
        Vec::new()
    });
    let (now, now_ms) = (clock.now(), clock.unix_ms());
    let is_remembered = |it: &&SavedStreams| {
        u128::from(now_ms.saturating_sub(it.saved_ms)) < StreamHash::TTL.as_millis()
    };
    for streams in saved.iter().filter(is_remembered) {
        hub.record_streams(now, &streams.begun_streams);
    }
    tracing::info!(event = "streams_read", count = hub.last_stream());
}

/// Saves to the file, and counts what fails.
fn save_to(
    file: AppendFile,
    failures: Arc<AtomicU64>,
) -> impl FnMut(Save) -> Result<(), StorageError> {
    let mut appender = None;
    move |save| {
        let result = save_one(&file, &mut appender, &save);
        if result.is_err() {
            failures.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

fn save_one(
    file: &AppendFile,
    appender: &mut Option<Appender>,
    save: &Save,
) -> Result<(), StorageError> {
    match (save, appender.as_mut()) {
        (Save::Append(streams), Some(appender)) => appender.append(streams),
        (Save::Append(streams) | Save::Begin(streams), _) => {
            *appender = Some(file.begin(streams)?);
            Ok(())
        }
    }
}
