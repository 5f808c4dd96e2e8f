//! Runs a control VM: listeners, the member of the replicated log, and the planned stop.

use std::{
    cell::RefCell,
    io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use ::daemon::Admin;
use anyhow::{Context, bail};
use clock::{Clock, SystemClock};
use consensus::{NodeId, Peer, Storage};
use directory::{Directory, Reader};
use dissemination::{Hub, HubSettings};
use futures::{FutureExt, Stream, StreamExt, pin_mut, select_biased};
use httpio::Limits;
use httpio::server::{self, ServerSettings, StopSignals};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};
use prometheus::Registry;
use storage::LogFile;
use telemetry::{LogSettings, Secret};

use crate::{
    AddressBook, Documents, LogRules, LogState, OperatorApi, Settings,
    commands::CommandCheck,
    founding::prepare,
    handler::{Handler, Tokens},
    health::ControlHealth,
    machine::ControlMachine,
    peers::Peers,
    replica::{self, Replica},
    server_feed::ServerFeed,
    tables_feed::TablesFeed,
    work_exchange,
};

/// How long a planned stop waits until another member leads.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
const HANDOVER_POLL: Duration = Duration::from_millis(20);

/// The most bytes of a request on the operators' listener.
const OPERATOR_BODY_BYTES_MAX: usize = 8 << 20;

/// What a control VM is given beside its settings.
pub struct Parts {
    /// The disk.
    pub storage: Box<dyn Storage + Send>,
    /// What the log decides.
    pub machine: Rc<RefCell<dyn ControlMachine>>,
    /// What the log refuses to hold.
    pub check: Rc<dyn CommandCheck>,
    /// What callers prove that they belong to the system by; none on a trusted network.
    pub tokens: Option<Tokens>,
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The seed of election times and of the hub's epoch.
    pub seed: u64,
    /// What a platform brings along, if the control VM runs on one.
    pub platform: Option<Platform>,
}

/// What a platform brings along for a control VM on it.
#[derive(Clone)]
pub struct Platform {
    /// The API served on the operators' listener.
    pub operator_api: Rc<dyn OperatorApi>,
    /// The notation of the platform's list.
    pub directory: Rc<dyn Directory>,
}

/// The listeners of a control VM.
pub struct Bound {
    /// For routers, peers and operators.
    pub calls: TcpListener,
    /// For health and metrics.
    pub admin: TcpListener,
    /// For an operators' front.
    pub operators: Option<TcpListener>,
}

impl Bound {
    /// Binds both listeners.
    ///
    /// # Errors
    ///
    /// Those of the system, such as an address in use.
    pub fn new(settings: &Settings) -> io::Result<Bound> {
        let calls = server::bind(settings.listen)?;
        let operators = settings.operators_listen.map(server::bind).transpose()?;
        Ok(Bound { calls, admin: server::bind(settings.admin_listen)?, operators })
    }
}

/// Reads the settings file and runs a control VM until it is told to stop.
///
/// # Errors
///
/// Faults in the files, addresses that cannot be bound, and a disk that fails.
pub fn run(settings_file: &Path) -> anyhow::Result<()> {
    run_with(settings_file, None)
}

/// As [`run`], on a platform with notations of its own.
///
/// # Errors
///
/// As for [`run`].
pub fn run_on(settings_file: &Path, platform: Platform) -> anyhow::Result<()> {
    run_with(settings_file, Some(platform))
}

fn run_with(settings_file: &Path, platform: Option<Platform>) -> anyhow::Result<()> {
    let settings = Settings::read(settings_file)?;
    let logs = LogSettings { filter: settings.log.clone(), ..LogSettings::default() };
    let _logs = telemetry::init_logs(&logs)?;
    if settings.peers.is_empty() {
        prepare(&settings)?;
    }
    let tokens = match &settings.token_files {
        Some(files) => Some(Tokens {
            command: Secret::read(&files.command)?,
            peer: Secret::read(&files.peer)?,
        }),
        None => None,
    };
    let parts = Parts {
        storage: Box::new(LogFile::open(&settings.data_dir, &storage::Settings::default())?),
        machine: Rc::new(RefCell::new(LogState::default())),
        check: Rc::new(LogRules),
        tokens,
        clock: Rc::new(SystemClock),
        seed: rand::random(),
        platform,
    };
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let bound = Bound::new(&settings)?;
        monoio::spawn(note_reloads(settings_file.to_owned()));
        serve(settings, parts, bound, ::daemon::signals::stop_requests()?).await
    })
}

/// Serves until told to stop.
///
/// # Errors
///
/// If the disk fails or holds damaged data: the process must not go on then.
pub async fn serve(
    settings: Settings,
    parts: Parts,
    bound: Bound,
    mut stop_requests: impl Stream<Item = ()> + Unpin,
) -> anyhow::Result<()> {
    let me = Peer { node: settings.node, disk: parts.storage.disk() };
    let feed = Rc::new(TablesFeed::default());
    let epoch = parts.seed.max(1);
    let hub = Hub::new(HubSettings { epoch, ..HubSettings::default() });
    let hub = Rc::new(RefCell::new(hub));
    let (replica, saved) = Replica::start(replica::Parts {
        me,
        settings: consensus::Settings {
            seed: parts.seed ^ settings.node.0,
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            election_timeout: Duration::from_millis(settings.election_timeout_ms),
            ..consensus::Settings::default()
        },
        storage: parts.storage,
        machine: parts.machine,
        feed: feed.clone(),
        peers: peers(&settings, parts.tokens.as_ref()),
        clock: parts.clock.clone(),
        voters_max: settings.voters_max,
        snapshot_every_entries: settings.snapshot_every_entries,
    })?;
    let registry = Registry::new();
    let health = Rc::new(ControlHealth::register(replica.clone(), feed.clone(), &registry)?);
    let admin = Rc::new(Admin::new(registry, health));
    let admin_settings = ServerSettings::default();
    monoio::spawn(server::serve(bound.admin, admin_settings, StopSignals::default(), admin));
    let servers = Rc::new(ServerFeed::new(epoch, parts.clock.clone()));
    if let (Some(platform), Some(addr)) = (&parts.platform, settings.platform) {
        let reader = Reader::new(addr, platform.directory.clone(), parts.clock.clone());
        let period = Duration::from_millis(settings.platform_period_ms);
        monoio::spawn(servers.clone().follow(reader, period));
    }
    if let (Some(listener), Some(platform)) = (bound.operators, parts.platform) {
        let handler = platform.operator_api.handler(Documents::new(replica.clone()));
        let limits = Limits { body_bytes: OPERATOR_BODY_BYTES_MAX, ..Limits::default() };
        let settings = ServerSettings { limits: limits.into(), ..ServerSettings::default() };
        monoio::spawn(server::serve(listener, settings, StopSignals::default(), handler));
    }
    let others = work_exchange::tell_others(replica.clone(), hub.clone(), parts.clock.clone());
    monoio::spawn(others);
    let handler = Handler {
        replica: replica.clone(),
        feed: feed.clone(),
        servers,
        hub,
        check: parts.check,
        tokens: parts.tokens,
        clock: parts.clock,
    };
    monoio::spawn(rpc::serve(bound.calls, Rc::new(handler), feed.counters().clone()));
    tracing::info!(event = "serving", member = %me, failure_domain = %settings.failure_domain);

    let disk_fault = replica.clone().take_saved(saved).fuse();
    pin_mut!(disk_fault);
    select_biased! {
        fault = disk_fault => fail(fault),
        _ = stop_requests.next().fuse() => {
            hand_over(&replica).await;
            tracing::info!(event = "stopped");
            Ok(())
        }
    }
}

/// A control VM knows the members from the log, so changed settings are checked and told only.
async fn note_reloads(path: PathBuf) {
    let mut reloads = match ::daemon::signals::reload_requests() {
        Ok(reloads) => reloads,
        Err(error) => return tracing::error!(event = "reload_unavailable", %error),
    };
    while reloads.next().await.is_some() {
        match Settings::read(&path) {
            Ok(settings) => tracing::info!(event = "reloaded", seeds = ?settings.seeds),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}

fn peers(settings: &Settings, tokens: Option<&Tokens>) -> Peers {
    let token = tokens.map(|it| it.peer.clone()).unwrap_or_default();
    let book = AddressBook::new(settings.peers.clone());
    let first: Vec<_> = book.numbered().chain(settings.seeds.iter().copied()).collect();
    Peers::start(settings.node, book, &first, &token)
}

fn fail(fault: Option<consensus::StorageError>) -> anyhow::Result<()> {
    match fault {
        Some(fault) => Err(fault).context("the disk failed"),
        None => bail!("the disk's thread has ended: restart the process"),
    }
}

/// Gives the leadership away, so that commands do not wait for an election.
async fn hand_over(replica: &Replica) {
    let Some(target) = replica.start_transfer() else { return };
    tracing::info!(event = "handing_over", target = %target.node);
    let handed_over = async {
        while replica.leads() {
            monoio::time::sleep(HANDOVER_POLL).await;
        }
    };
    if monoio::time::timeout(HANDOVER_TIMEOUT, handed_over).await.is_err() {
        tracing::warn!(event = "handover_timed_out", node = %NodeId(target.node.0));
    }
}
