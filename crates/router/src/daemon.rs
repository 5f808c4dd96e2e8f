//! Runs a router: its listeners, its background tasks and the graceful stop.

mod components;
mod stop_steps;

use std::{
    cell::RefCell,
    cell::{Cell, OnceCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, bail};
use control_client::{Domain, DomainMember};
use daemon::{Admin, Launch, RequestStream, Start};
use directory::{OwnReads, Reader};
use dissemination::MemberState;
use duties::{CounterId, WindowLength};
use futures::{FutureExt, Stream, StreamExt, future::OptionFuture, pin_mut, select_biased};
use httpio::{
    Limits,
    server::{self, BindError, Handler, LiveLimits, ReceiveBuffer, ServerSettings, StopSignals},
};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};
use policy::{KeptConnectionSettings, OtherLoad, Pacing, PermitSource};
use prometheus::Registry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rpc::Link;
use tables::{CallerLimits, Tables};

pub use self::components::{Components, Interface, Platform};
use self::{
    components::{native_components, platform_components},
    stop_steps::StopSteps,
};
use crate::{
    arrival::IdGenerator,
    backends::Backends,
    class_limits::ClassLimits,
    directory_watch::{CachedList, DirectorySource, DirectoryWatch},
    dispatch::Dispatcher,
    domain::RouterMember,
    engine_urgency::EngineUrgency,
    fields::millis,
    forwarding::{self, ForwardListener, ForwardedHandler, Forwarder, PeerClient},
    identity::{Authenticator, Workspaces},
    load_reports::{self, LoadReadings, ServerFilter},
    memory::{LargestBodies, Memory, REQUEST_BYTES},
    metrics::Metrics,
    pipeline::Pipeline,
    quarantine_exchange::{self, RouterAdmin},
    readiness::{Readiness, RouterHealth},
    relay::Relay,
    services::Services,
    settings::RouterSettings,
    shared_work::WorkMember,
    stop_deadline::{StopDeadline, StopSchedule},
    stream_origins::StreamOrigins,
    table_source::TableSource,
    usage::Usage,
};

/// How long queued requests wait for a server of their pool to return before another router is asked.
const FORWARDING_GRACE: Duration = Duration::from_millis(100);

/// The role that the log names.
const ROLE: &str = "router";

/// The listeners of a router.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For health and metrics.
    pub admin: TcpListener,
    /// For other routers.
    pub forwarded: Option<TcpListener>,
}

impl Listeners {
    /// Binds the listeners; the last one only if it has an address. Callers cannot connect before all
    /// others are bound.
    ///
    /// # Errors
    /// If an address cannot be bound, for instance because it is in use. None is bound then.
    pub fn bind(
        callers: SocketAddr,
        admin: SocketAddr,
        forwarded: Option<SocketAddr>,
        buffer: ReceiveBuffer,
    ) -> Result<Listeners, BindError> {
        let admin = server::bind(admin)?;
        let forwarded = forwarded.map(|it| server::bind_with(it, buffer)).transpose()?;
        Ok(Listeners { callers: server::bind_with(callers, buffer)?, admin, forwarded })
    }
}

/// How a router stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// All requests in flight were completed.
    Gracefully,
    /// The time until the kill was over before that.
    AtDeadline {
        /// The connections on which a request had still not been answered completely.
        requests_cut: usize,
    },
    /// A second stop request came before that.
    AtOnce,
}

/// Reads the settings file and runs a router until it is stopped. Returns the exit code, which is an
/// error if a file has faults, an address cannot be bound, or a second stop request cut off requests.
#[must_use]
pub fn run(launch: Launch<'_>) -> ExitCode {
    let settings_file = launch.settings_file;
    let run = |start: Start<'_>| run_with(start, settings_file, native_components);
    daemon::run_process(ROLE, launch, run)
}

/// Like [`run`], on a platform with its own formats and conventions.
#[must_use]
pub fn run_on_platform(launch: Launch<'_>, platform: Platform) -> ExitCode {
    let settings_file = launch.settings_file;
    let components = |settings: &_| Ok(platform_components(settings, platform));
    daemon::run_process(ROLE, launch, |start| run_with(start, settings_file, components))
}

fn run_with(
    start: Start<'_>,
    settings_file: &Path,
    components: impl FnOnce(&RouterSettings) -> anyhow::Result<Components>,
) -> anyhow::Result<()> {
    let path = settings_file.to_owned();
    let settings = start.read_settings(move || read_settings(&path))?;
    start.set_log_filter(&settings.log)?;
    daemon::log_unknown_settings(&settings.unknown);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let (mut stop_requests, reloads) = start.signals.into_streams()?;
        let components = components(&settings)?;
        if settings.control.as_ref().is_some_and(Vec::is_empty) {
            tracing::warn!(event = "no_control_named", remedy = "name some and request a reload");
        }
        let link = components.link.clone();
        monoio::spawn(reload_control_addrs(settings_file.to_owned(), reloads, link));
        let (callers, admin) = (settings.listen, settings.admin_listen);
        let buffer = settings.receive_buffer();
        let bind = || Listeners::bind(callers, admin, settings.forward_listen, buffer);
        let listeners = daemon::bind_when_free(&mut stop_requests, bind).await?;
        match serve(settings, components, listeners, stop_requests).await? {
            Stopped::Gracefully | Stopped::AtDeadline { .. } => Ok(()),
            Stopped::AtOnce => bail!("stopped by a second signal; requests in flight were cut off"),
        }
    })
}

/// Updates the addresses of the control VMs from the settings file on each reload request, while
/// no control VM is connected. All other settings need a restart.
async fn reload_control_addrs(path: PathBuf, mut reloads: RequestStream, link: Option<Link>) {
    while reloads.next().await.is_some() {
        match read_settings(&path) {
            Ok(settings) => {
                tracing::info!(event = "reloaded", control = ?settings.control);
                let addrs = settings.control.unwrap_or_default();
                let unconnected = link.as_ref().filter(|it| it.client().is_err());
                if let Some(link) = unconnected.filter(|_| !addrs.is_empty()) {
                    link.set_addrs(addrs);
                }
            }
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}

fn read_settings(path: &Path) -> anyhow::Result<RouterSettings> {
    let name = path.display().to_string();
    let text =
        std::fs::read_to_string(path).with_context(|| format!("read {name}: check --config"))?;
    Ok(RouterSettings::parse(&name, &text)?)
}

/// Serves until a stop request, then drains and closes, and returns before the process would be killed. A
/// second stop request ends it at once.
///
/// # Errors
/// If the metrics cannot be registered.
pub async fn serve(
    settings: RouterSettings,
    components: Components,
    listeners: Listeners,
    mut stop_requests: impl Stream<Item = ()> + Unpin,
) -> anyhow::Result<Stopped> {
    let registry = Registry::new();
    telemetry::register_process_metrics(&registry)?;
    let services = Rc::new(build_services(&settings, &components, &registry)?);
    let readiness = Rc::new(Cell::new(Readiness::Starting));
    let health = RouterHealth { readiness: Rc::clone(&readiness) };
    let admin = Admin::new(registry, Rc::new(health));
    let admin = Rc::new(RouterAdmin { admin, services: Rc::clone(&services) });
    let admin_settings = daemon::admin_server();
    monoio::spawn(server::serve(listeners.admin, admin_settings, StopSignals::default(), admin));
    monoio::spawn(services.memory.clone().log_refusals());
    let memory = services.memory.requests.clone();
    let bounds = settings.connection_bounds();
    let server_settings = ServerSettings {
        limits: settings.server.limits.into(),
        connections: bounds.callers,
        memory,
        request_bytes: REQUEST_BYTES,
        ..ServerSettings::default()
    };
    let follower = TablesFollower {
        services: Rc::clone(&services),
        tables: Rc::clone(&components.tables),
        workspaces: Rc::clone(&components.workspaces),
        readiness: Rc::clone(&readiness),
        limits: server_settings.limits.clone(),
    };
    monoio::spawn(follower.follow());
    join_domain(&settings, &components, &services);

    for peer in &settings.peers {
        let period = Duration::from_millis(settings.peer_period_ms);
        let services = Rc::clone(&services);
        monoio::spawn(quarantine_exchange::poll_peer(*peer, period, services));
    }
    if let Some(addr) = settings.platform {
        let directory = Rc::clone(&components.directory);
        let source = DirectorySource {
            reader: Reader::new(addr, directory, Rc::clone(&components.clock)),
            period: Duration::from_millis(settings.platform_period_ms),
            link: components.link.clone(),
        };
        let (services, tables) = (Rc::clone(&services), Rc::clone(&components.tables));
        let own_reads = RefCell::new(OwnReads::new(source.period));
        let cached = CachedList::default();
        DirectoryWatch { source, services, tables, cached, own_reads }.start();
    }

    let (steps, signals) = StopSteps::new();
    let (stop, open) = (services.stop.clone(), server_settings.open.clone());
    let handlers = build_handlers(&components, services);
    let forwarded = listeners.forwarded.map(|listener| {
        let token = components.token.clone();
        let handler = Rc::new(ForwardListener { handler: handlers.forwarded, token });
        let server_settings =
            ServerSettings { connections: bounds.forwarded, ..server_settings.clone() };
        server::serve(listener, server_settings, signals.clone(), handler)
    });
    let callers = server::serve(listeners.callers, server_settings, signals, handlers.callers);
    let served = async {
        futures::join!(callers, OptionFuture::from(forwarded));
    };
    let served = monoio::spawn(served).fuse();
    tracing::info!(event = "serving", vm = %settings.vm, failure_domain = %settings.failure_domain);

    stop_requests.next().await;
    let schedule = stop.schedule();
    let (delay_ms, grace_ms) = (millis(schedule.close_after), millis(settings.stop_grace));
    tracing::info!(event = "draining", delay_ms, grace_ms);
    readiness.set(Readiness::Draining);
    stop.begin();
    let stopped = steps.take(schedule, open, served).fuse();
    pin_mut!(stopped);
    select_biased! {
        stopped = stopped => Ok(stopped),
        _ = stop_requests.next().fuse() => Ok(Stopped::AtOnce),
    }
}

/// Polls load reports, and exchanges them with other routers if there is a hub.
///
/// Relayed answers contain the load of their servers, so a relay polls no reports.
fn join_domain(settings: &RouterSettings, components: &Components, services: &Rc<Services>) {
    let (services, tables) = (Rc::clone(services), Rc::clone(&components.tables));
    let of_domain = Rc::clone(&services);
    let start_domain = |member: Rc<dyn DomainMember>, link: &Link| {
        let interval = Duration::from_millis(settings.exchange_period_ms);
        let clock = Rc::clone(&components.clock);
        let peer = forwarding::own_peer(settings.forward_listen, &settings.failure_domain);
        let held = MemberState::new(&settings.vm).with_peer(peer);
        let domain = Domain::start(held, link.clone(), clock, interval, member);
        Rc::clone(of_domain.domain.get_or_init(|| domain))
    };
    let readings = LoadReadings::default();
    let is_owned: ServerFilter = match (&components.interface, &components.link) {
        (Interface::Relayed(_), None) => return,
        (Interface::Relayed(_), Some(link)) => {
            start_domain(Rc::new(WorkMember::new(services, tables)), link);
            return;
        }
        (Interface::Native, None) => Rc::new(|_| true),
        (Interface::Native, Some(link)) => {
            let (services, tables) = (Rc::clone(&services), Rc::clone(&tables));
            let member = RouterMember::new(services, tables, readings.clone());
            let domain = start_domain(Rc::new(member), link);
            Rc::new(move |addr| domain.owns(addr))
        }
    };
    monoio::spawn(load_reports::poll(services, tables, is_owned, readings));
}

/// The handlers of callers' requests and of those that other routers forward.
struct Handlers {
    callers: Rc<dyn Handler>,
    forwarded: Rc<dyn ForwardedHandler>,
}

impl<T: Handler + ForwardedHandler + 'static> From<T> for Handlers {
    fn from(handler: T) -> Self {
        let handler = Rc::new(handler);
        Handlers { callers: Rc::clone(&handler) as Rc<dyn Handler>, forwarded: handler }
    }
}

fn build_handlers(components: &Components, services: Rc<Services>) -> Handlers {
    let (tables, limits) = (Rc::clone(&components.tables), ClassLimits::default());
    match &components.interface {
        Interface::Native => {
            let authenticator = Authenticator::new(Rc::clone(&components.workspaces));
            Pipeline { services, authenticator, tables, limits }.into()
        }
        Interface::Relayed(dialect) => {
            Relay { services, tables, limits, dialect: Rc::clone(dialect) }.into()
        }
    }
}

fn build_services(
    settings: &RouterSettings,
    components: &Components,
    registry: &Registry,
) -> anyhow::Result<Services> {
    let backends = Backends::new(settings.backends, Rc::clone(&components.clock));
    let (seed, routers) = (components.seed, settings.routers);
    let permits = if components.link.is_some() { PermitSource::Hub } else { PermitSource::Own };
    let kept_connections = KeptConnectionSettings {
        max: settings.backends.pool.idle_per_server,
        ..KeptConnectionSettings::default()
    };
    let policy = policy::Settings {
        seed,
        routers,
        permits,
        kept_connections,
        hedge_permille: settings.hedge_permille,
        ..policy::Settings::default()
    };
    let policy = match settings.forward_listen {
        Some(_) => policy::Settings { no_backend_grace: FORWARDING_GRACE, ..policy },
        None => policy,
    };
    // On a platform every router sends to all servers, and learns the load that the other routers
    // cause from the answers.
    let (backends, policy, own_domain) = match &components.interface {
        Interface::Native => (backends, policy, settings.failure_domain.as_str()),
        Interface::Relayed(dialect) => {
            let policy = policy::Settings {
                others: OtherLoad::Decaying,
                pacing: Pacing::Off,
                retry_burst: 1,
                straggler_ratio: 50.0,
                ..policy
            };
            (backends.with_dialect(Rc::clone(dialect)), policy, "")
        }
    };
    let largest = LargestBodies {
        request_bytes: settings.server.limits.body_bytes,
        answer_bytes: settings.backends.pool.limits.body_bytes,
    };
    let memory = Memory::divide(settings.memory_mb, largest);
    memory.register(registry)?;
    let client = PeerClient::new(
        &settings.vm,
        components.token.clone(),
        settings.backends.pool.limits,
        memory.answers.clone(),
        Rc::clone(&components.clock),
    );
    let forwarder = Forwarder::new(&settings.failure_domain, client, seed);
    let prober = Rc::new(backends.clone());
    let clock = Rc::clone(&components.clock);
    let dispatcher = Dispatcher::new(clock, prober, policy, own_domain);
    let drain_delay = Duration::from_millis(settings.drain_delay_ms);
    let schedule = StopSchedule::new(drain_delay, settings.stop_grace);
    Ok(Services {
        clock: Rc::clone(&components.clock),
        backends,
        dispatcher,
        ledger: Rc::clone(&components.ledger),
        metrics: Metrics::register(registry)?,
        ids: IdGenerator::new(ChaCha8Rng::seed_from_u64(components.seed)),
        timeouts: settings.timeouts,
        stop: StopDeadline::new(Rc::clone(&components.clock), schedule),
        urgency: EngineUrgency::default(),
        streams: StreamOrigins::new(Rc::clone(&components.clock)),
        usage: Usage::new(
            settings.usage_window.map(WindowLength),
            CounterId(components.seed),
            &components.clock,
        ),
        memory,
        peers: settings.peers.clone(),
        forwarder,
        domain: OnceCell::new(),
    })
}

/// Applies each new revision of the tables.
struct TablesFollower {
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    workspaces: Rc<Workspaces>,
    readiness: Rc<Cell<Readiness>>,
    limits: LiveLimits,
}

impl TablesFollower {
    async fn follow(self) {
        loop {
            let tables = self.tables.current();
            if !tables.routes.is_empty() {
                self.apply(&tables);
            }
            self.tables.newer_than(tables.revision).await;
        }
    }

    fn apply(&self, tables: &Tables) {
        self.services.dispatcher.configure(tables, &self.workspaces);
        self.services.metrics.set_revision(tables.revision.0);
        if let Some(limits) = &tables.caller_limits {
            self.limits.set(with_caller_limits(self.limits.get(), limits));
        }
        tracing::info!(event = "tables", revision = %tables.revision);
        if self.readiness.get() == Readiness::Starting {
            self.readiness.set(Readiness::Ready);
        }
    }
}

fn with_caller_limits(limits: Limits, caller_limits: &CallerLimits) -> Limits {
    Limits {
        head_bytes: caller_limits.head_bytes_max,
        body_bytes: caller_limits.body_bytes_max,
        head_timeout_ms: caller_limits.head_timeout_ms,
        keep_alive_ms: caller_limits.idle_timeout_ms,
        ..limits
    }
}
