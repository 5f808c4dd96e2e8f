//! Runs a control VM: its listeners, its member of the replicated log and its graceful stop.

use std::{
    cell::RefCell,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use ::daemon::{Admin, Launch, RequestStream, Start};
use anyhow::{Context, bail};
use clock::{Clock, SystemClock};
use consensus::{Peer, Storage, StorageError};
use directory::{Directory, Reader};
use dissemination::{Hub, HubSettings};
use futures::{FutureExt, Stream, StreamExt, pin_mut, select_biased};
use httpio::Limits;
use httpio::budget::ByteBudget;
use httpio::server::{self, BindError, ConnectionBound, ServerSettings, StopSignals};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};
use prometheus::Registry;
use tables::TablesParser;
use telemetry::Secret;

use crate::{
    AddressBook, Documents, DutyApi, LogRules, LogState, OperatorApi, Settings,
    bootstrap::open_log,
    commands::CommandCheck,
    disk_writer::retry_while_unavailable,
    duties::{self, DutyParts, ScalingGauges, SharedUsage},
    graceful_stop::{self, OperatorServer},
    handler::{Handler, Tokens, unreadable_throttle},
    health::ControlHealth,
    hub_broadcast::HubBroadcast,
    memory,
    peers::Peers,
    replica::{self, Replica},
    saved_streams::StreamKeeper,
    server_feed::{ListSource, ServerFeed},
    snapshot_pace::SnapshotPace,
    state_machine::StateMachine,
    tables_feed::TablesFeed,
    version_history::VersionKeeper,
};

/// A voter that has not answered the leader for this many election timeouts has failed, so that a
/// synced learner takes its vote.
const VOTER_TIMEOUT_ELECTIONS: u32 = 2;

/// The role that the log names.
const ROLE: &str = "control";

/// The dependencies of a control VM, beside its settings.
pub struct Parts {
    /// The storage of the log.
    pub storage: Box<dyn Storage + Send>,
    /// The state machine that applies the log.
    pub machine: Rc<RefCell<dyn StateMachine>>,
    /// The check that commands must pass before they enter the log.
    pub check: Rc<dyn CommandCheck>,
    /// The tokens by which callers authenticate; `None` on a trusted network.
    pub tokens: Option<Tokens>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The seed of the random election timeouts and the epoch of the hub.
    pub seed: u64,
    /// The adapters of the platform, if the control VM runs on one.
    pub platform: Option<Platform>,
}

/// The adapters of a platform for a control VM that runs on it.
#[derive(Clone)]
pub struct Platform {
    /// The API served on the operators' listener.
    pub operator_api: Rc<dyn OperatorApi>,
    /// The notation of the calls that only one VM may make at a time.
    pub duty_api: Rc<dyn DutyApi>,
    /// The notation of the platform's server list.
    pub directory: Rc<dyn Directory>,
    /// The notation of the operator's document.
    pub tables_parser: Rc<dyn TablesParser>,
}

/// The listeners of a control VM.
pub struct Listeners {
    /// For RPC calls of routers, other control VMs and operators.
    pub rpc: TcpListener,
    /// For health and metrics.
    pub admin: TcpListener,
    /// For the operators' API, if one is configured.
    pub operators: Option<TcpListener>,
}

impl Listeners {
    /// Binds the listeners; that of the RPC calls last, so that none hangs while another address is in
    /// use.
    ///
    /// # Errors
    ///
    /// System errors, such as an address in use. None is bound then.
    pub fn new(settings: &Settings) -> Result<Listeners, BindError> {
        let admin = server::bind(settings.admin_listen)?;
        let operators = settings.operators_listen.map(server::bind).transpose()?;
        Ok(Listeners { rpc: server::bind(settings.listen)?, admin, operators })
    }
}

/// Reads the settings file and runs a control VM until it receives a stop signal. Returns the exit
/// code, which is an error after errors in the files, addresses that cannot be bound, and disk failures.
#[must_use]
pub fn run(launch: Launch<'_>) -> ExitCode {
    let settings_file = launch.settings_file;
    ::daemon::run_process(ROLE, launch, |start| run_with(start, settings_file, None))
}

/// As [`run`], on a platform with its own API and notations.
#[must_use]
pub fn run_on(launch: Launch<'_>, platform: Platform) -> ExitCode {
    let settings_file = launch.settings_file;
    ::daemon::run_process(ROLE, launch, |start| run_with(start, settings_file, Some(platform)))
}

fn run_with(
    start: Start<'_>,
    settings_file: &Path,
    platform: Option<Platform>,
) -> anyhow::Result<()> {
    let path = settings_file.to_owned();
    let settings = start.read_settings(move || Settings::read(&path))?;
    start.set_log_filter(&settings.log)?;
    ::daemon::log_unknown_settings(&settings.unknown);
    let of_disk = settings.clone();
    let open_disk = move || retry_while_unavailable(|| open_log(&of_disk));
    let log_file = start.run_step("open the data folder", open_disk)??;
    let tokens = match &settings.token_files {
        Some(files) => Some(Tokens {
            command: Secret::read(&files.command)?,
            peer: Secret::read(&files.peer)?,
        }),
        None => None,
    };
    let parts = Parts {
        storage: Box::new(log_file),
        machine: Rc::new(RefCell::new(LogState::default())),
        check: Rc::new(LogRules),
        tokens,
        clock: Rc::new(SystemClock),
        seed: rand::random(),
        platform,
    };
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let (mut stop_requests, reloads) = start.signals.into_streams()?;
        let bind = || Listeners::new(&settings);
        let listeners = ::daemon::bind_when_free(&mut stop_requests, bind).await?;
        monoio::spawn(validate_reloads(settings_file.to_owned(), reloads));
        serve(settings, parts, listeners, stop_requests).await
    })
}

/// Serves until a stop is requested.
///
/// # Errors
///
/// If the disk fails or holds damaged data; the process must end then.
pub async fn serve(
    settings: Settings,
    parts: Parts,
    listeners: Listeners,
    mut stop_requests: impl Stream<Item = ()> + Unpin,
) -> anyhow::Result<()> {
    let me = Peer { node: settings.node, disk: parts.storage.disk() };
    let feed = Rc::new(TablesFeed::default());
    let epoch = parts.seed.max(1);
    let hub = Hub::new(HubSettings { epoch, ..HubSettings::default() });
    let hub = Rc::new(RefCell::new(hub));
    let election_timeout = Duration::from_millis(settings.election_timeout_ms);
    let (replica, saved) = Replica::start(replica::Parts {
        me,
        settings: consensus::Settings {
            seed: parts.seed ^ settings.node.0,
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            election_timeout,
            ..consensus::Settings::default()
        },
        storage: parts.storage,
        machine: parts.machine,
        feed: feed.clone(),
        peers: peers(&settings, parts.tokens.as_ref()),
        clock: parts.clock.clone(),
        voters_max: settings.voters_max,
        voter_timeout: election_timeout * VOTER_TIMEOUT_ELECTIONS,
        snapshot_pace: SnapshotPace::new(
            settings.snapshot_every_entries,
            settings.snapshot_every_bytes,
        ),
    })?;
    let registry = Registry::new();
    let health = Rc::new(ControlHealth::register(replica.clone(), feed.clone(), &registry)?);
    let scaling_gauges = ScalingGauges::register(&registry)?;
    let admin = Rc::new(Admin::new(registry.clone(), health));
    let admin_settings = ::daemon::admin_server();
    monoio::spawn(server::serve(listeners.admin, admin_settings, StopSignals::default(), admin));
    let versions = VersionKeeper::start(&settings.data_dir, hub.clone(), parts.clock.clone());
    let streams = StreamKeeper::start(&settings.data_dir, hub.clone(), parts.clock.clone());
    monoio::spawn(streams.keep_saved());
    let usage = Rc::new(SharedUsage::default());
    let servers = Rc::new(ServerFeed::new(epoch, parts.clock.clone(), versions));
    if let (Some(platform), Some(addr)) = (&parts.platform, settings.platform) {
        let reader = Reader::new(addr, platform.directory.clone(), parts.clock.clone());
        let period = Duration::from_millis(settings.platform_period_ms);
        let source = ListSource { reader, period, replica: replica.clone() };
        monoio::spawn(servers.clone().keep_fresh(source));
        let duty_parts = DutyParts {
            settings: settings.duties.clone(),
            replica: replica.clone(),
            api: Rc::clone(&platform.duty_api),
            platform: addr,
            usage: Rc::clone(&usage),
            servers: Rc::clone(&servers),
            hub: Rc::clone(&hub),
            tables_parser: Rc::clone(&platform.tables_parser),
            gauges: scaling_gauges,
            clock: parts.clock.clone(),
        };
        duties::start(duty_parts, &registry)?;
    }
    let operators = listeners.operators.zip(parts.platform).map(|(listener, platform)| {
        let handler = platform.operator_api.handler(Documents::new(replica.clone()));
        OperatorServer::start(listener, operator_server(&settings), handler)
    });
    let broadcast = HubBroadcast {
        replica: replica.clone(),
        hub: hub.clone(),
        desk: Rc::default(),
        clock: parts.clock.clone(),
    };
    monoio::spawn(broadcast.clone().send_work());
    monoio::spawn(broadcast.clone().repeat_news());
    monoio::spawn(broadcast.clone().share_permits());
    let handler = Handler {
        replica: replica.clone(),
        feed: feed.clone(),
        servers,
        hub,
        usage,
        broadcast,
        check: parts.check,
        tokens: parts.tokens,
        clock: parts.clock,
        unreadable: unreadable_throttle(),
    };
    let (handler, counters) = (Rc::new(handler), feed.counters().clone());
    let rpc_settings = rpc::ServerSettings {
        connections_max: settings.connection_bounds().rpc,
        messages: memory::messages(settings.memory_mb),
    };
    monoio::spawn(rpc::serve(rpc_settings, listeners.rpc, handler, counters));
    tracing::info!(event = "serving", member = %me, failure_domain = %settings.failure_domain);

    let disk_fault = replica.clone().handle_save_results(saved).fuse();
    let stopped = async {
        stop_requests.next().await;
        graceful_stop::run(&replica, operators).await;
    }
    .fuse();
    pin_mut!(disk_fault, stopped);
    // The member must go on with its disk during the stop, so that changes in flight can be committed.
    select_biased! {
        fault = disk_fault => fail(fault),
        () = stopped => Ok(()),
    }
}

fn operator_server(settings: &Settings) -> ServerSettings {
    let body_bytes = memory::body_bytes_max(settings.memory_mb);
    ServerSettings {
        limits: Limits { body_bytes, ..Limits::default() }.into(),
        connections: ConnectionBound(settings.connection_bounds().operators),
        memory: ByteBudget::new(memory::bodies(settings.memory_mb)),
        request_bytes: memory::CALL_BYTES,
        ..ServerSettings::default()
    }
}

/// Checks the settings file at each reload request and logs the result.
///
/// No setting changes while the process runs; the members are known from the log.
async fn validate_reloads(path: PathBuf, mut reloads: RequestStream) {
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
    let initial: Vec<_> = book.numbered().chain(settings.seeds.iter().copied()).collect();
    Peers::start(settings.node, book, &initial, &token)
}

fn fail(fault: Option<StorageError>) -> anyhow::Result<()> {
    match fault {
        Some(fault) => Err(fault).context("a write to the disk failed"),
        None => bail!("the disk thread has ended: restart the process"),
    }
}
