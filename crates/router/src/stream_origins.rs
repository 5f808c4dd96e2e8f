//! Which software version began each stream, so that a caller can take it up at any router.
//!
//! The router that passes on the first event of a stream tells the hub, and the hubs tell one another.
//! Where nobody knows a stream, it goes on only if its pool has had one version for longer than streams
//! last, as this router or its hub knows, or has one version and the caller does not name the stream;
//! otherwise it is refused. The hub keeps the versions on its disk, so it knows them after a kill of all.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use control_client::Domain;
use dissemination::{BegunStreams, PoolHash, SoleVersion, StreamHash, StreamLog};
use monoio::time;
use policy::VersionHash;

/// Pauses between lookups of a stream that the hub does not know. The router where it began reports it
/// within its exchange, and the hub of that router tells the others a little later.
const LOOKUP_PAUSES: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(200), Duration::from_millis(300)];
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// How long what the hub tells of single versions holds; each lookup asks again.
const SOLE_VERSION_TTL: Duration = Duration::from_secs(2);
/// The time after which a stream that is still running is reported again.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The streams that this router knows, and those that it looks up.
pub(crate) struct StreamOrigins {
    clock: Rc<dyn Clock>,
    /// The streams that began here.
    own: RefCell<StreamLog>,
    /// The streams that the hub has found.
    found: RefCell<StreamLog>,
    lookups: RefCell<BTreeSet<StreamHash>>,
    /// The pools with a single version, as the hub has told last, and when.
    sole_versions: RefCell<Option<(Instant, Vec<SoleVersion>)>>,
}

impl StreamOrigins {
    pub(crate) fn new(clock: Rc<dyn Clock>) -> StreamOrigins {
        StreamOrigins {
            clock,
            own: RefCell::default(),
            found: RefCell::default(),
            lookups: RefCell::default(),
            sole_versions: RefCell::default(),
        }
    }

    /// Records that this router passes on events of a stream that a server of `version` began.
    pub(crate) fn record(&self, request_id: &str, version: VersionHash) {
        let now = self.clock.now();
        self.own.borrow_mut().record(now, StreamHash::of(request_id), version);
    }

    /// The number of the last record of a stream that began here.
    pub(crate) fn last_record(&self) -> u64 {
        self.own.borrow().last_record()
    }

    /// The streams that began here after the record `known`.
    pub(crate) fn begun_since(&self, known: u64) -> Vec<BegunStreams> {
        self.own.borrow().since(known)
    }

    /// The streams to look up at the hub.
    pub(crate) fn lookups(&self) -> Vec<StreamHash> {
        self.lookups.borrow().iter().copied().collect()
    }

    /// Records the streams that the hub has found.
    pub(crate) fn record_found(&self, found: &[BegunStreams]) {
        let now = self.clock.now();
        for group in found {
            let mut log = self.found.borrow_mut();
            group.streams.iter().for_each(|it| log.record(now, *it, group.version));
        }
    }

    /// Records the pools with a single version, which the hub tells with streams that it does not know.
    pub(crate) fn record_sole_versions(&self, rows: &[SoleVersion]) {
        if !rows.is_empty() {
            self.sole_versions.replace(Some((self.clock.now(), rows.to_vec())));
        }
    }

    /// The only version that a pool has had for longer than streams last, if the hub has just told it.
    pub(crate) fn sole_version_at_hub(&self, pool: &str) -> Option<VersionHash> {
        let told = self.sole_versions.borrow();
        let (told_at, rows) = told.as_ref()?;
        let is_recent = self.clock.now() < *told_at + SOLE_VERSION_TTL;
        let row = rows.iter().find(|it| it.pool == PoolHash::of(pool)).filter(|_| is_recent)?;
        Some(row.version)
    }

    /// The version that began the stream, looked up at the hub if it did not begin here.
    pub(crate) async fn find(
        &self,
        request_id: &str,
        domain: Option<&Rc<Domain>>,
    ) -> Option<VersionHash> {
        let stream = StreamHash::of(request_id);
        if let Some(version) = self.known(stream) {
            return Some(version);
        }
        let domain = domain.filter(|it| it.is_fresh())?;
        let _lookup = Lookup::begin(&self.lookups, stream);
        // A hub that does not answer knows nothing.
        let _ = time::timeout(LOOKUP_TIMEOUT, self.look_up(stream, domain)).await;
        self.known(stream)
    }

    async fn look_up(&self, stream: StreamHash, domain: &Domain) {
        domain.exchange_now().await;
        for pause in LOOKUP_PAUSES {
            if self.known(stream).is_some() {
                return;
            }
            time::sleep(pause).await;
            domain.exchange_now().await;
        }
    }

    fn known(&self, stream: StreamHash) -> Option<VersionHash> {
        let now: Instant = self.clock.now();
        let own = self.own.borrow().version(now, stream);
        own.or_else(|| self.found.borrow().version(now, stream))
    }
}

/// A lookup under way, which ends if the caller leaves.
struct Lookup<'a> {
    lookups: &'a RefCell<BTreeSet<StreamHash>>,
    stream: StreamHash,
}

impl Lookup<'_> {
    fn begin(lookups: &RefCell<BTreeSet<StreamHash>>, stream: StreamHash) -> Lookup<'_> {
        lookups.borrow_mut().insert(stream);
        Lookup { lookups, stream }
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.lookups.borrow_mut().remove(&self.stream);
    }
}
