//! Runs a router: listeners, the watch on the tables, load reports, and the graceful stop.

use std::{cell::Cell, io, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use anyhow::{Context, bail};
use clock::{Clock, SystemClock};
use control_client::{Domain, TablesWatch, WatchSettings};
use control_state::RouterId;
use daemon::Admin;
use futures::{FutureExt, Stream, StreamExt, pin_mut, select_biased};
use httpio::{
    server::{self, ServerSettings, StopSignals},
    signal,
};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener, time};
use prometheus::Registry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rpc::{Link, LinkSettings};
use telemetry::{LogSettings, Secret};

use crate::{
    arrival::Reception,
    backends::Backends,
    class_limits::ClassLimits,
    control::{ControlLedger, ControlTables},
    dispatch::Dispatcher,
    domain::RouterMember,
    identity::{Identity, Workspaces},
    load_reports::{self, Owns, Readings},
    metrics::Metrics,
    order_ledger::{NoLedger, OrderLedger},
    pipeline::Pipeline,
    platform,
    quarantine_exchange::{self, RouterAdmin},
    readiness::{Readiness, RouterHealth},
    services::Services,
    settings::RouterSettings,
    table_source::{FixedTables, TableSource},
};

/// What a router is given beside its settings.
pub struct Parts {
    /// The tables.
    pub tables: Rc<dyn TableSource>,
    /// Claims on orders.
    pub ledger: Rc<dyn OrderLedger>,
    /// The callers.
    pub workspaces: Rc<Workspaces>,
    /// The link to the hub of the failure domain, if there is one.
    pub link: Option<Link>,
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The seed of identities and random choices.
    pub seed: u64,
}

/// The listeners of a router.
pub struct Bound {
    /// For callers.
    pub callers: TcpListener,
    /// For health and metrics.
    pub admin: TcpListener,
}

impl Bound {
    /// Binds both listeners.
    ///
    /// # Errors
    /// Those of the system, such as an address in use.
    pub fn new(callers: SocketAddr, admin: SocketAddr) -> io::Result<Bound> {
        Ok(Bound { callers: server::bind(callers)?, admin: server::bind(admin)? })
    }
}

/// How a router stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Everything in flight was finished.
    Gracefully,
    /// A second request to stop came first.
    AtOnce,
}

/// Reads the settings file and runs a router until it is told to stop.
///
/// # Errors
/// Faults in the files, addresses that cannot be bound, and a stop that cut requests off.
pub fn run(settings_file: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(settings_file)
        .with_context(|| format!("read {}: check --config", settings_file.display()))?;
    let settings = RouterSettings::parse(&settings_file.display().to_string(), &text)?;
    telemetry::init_logs(&LogSettings { filter: settings.log.clone() })?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let parts = parts(&settings)?;
        let bound = Bound::new(settings.listen, settings.admin_listen)?;
        match serve(settings, parts, bound, daemon::stop_requests::from_signals()?).await? {
            Stopped::Gracefully => Ok(()),
            Stopped::AtOnce => bail!("stopped by a second signal; requests in flight were cut off"),
        }
    })
}

fn parts(settings: &RouterSettings) -> anyhow::Result<Parts> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let workspaces = match &settings.files.workspaces {
        Some(path) => Workspaces::read(path)?,
        None => Workspaces::default(),
    };
    let (tables, ledger, link) = match settings.control.is_empty() {
        true => from_files(settings)?,
        false => from_control(settings, &clock)?,
    };
    Ok(Parts { tables, ledger, workspaces: Rc::new(workspaces), link, clock, seed: rand::random() })
}

type Shared = (Rc<dyn TableSource>, Rc<dyn OrderLedger>, Option<Link>);

fn from_files(settings: &RouterSettings) -> anyhow::Result<Shared> {
    let (Some(routes), Some(pools)) = (&settings.files.routes, &settings.files.pools) else {
        bail!("name routes_file and pools_file in the settings");
    };
    Ok((Rc::new(FixedTables::read(routes, pools)?), Rc::new(NoLedger), None))
}

fn from_control(settings: &RouterSettings, clock: &Rc<dyn Clock>) -> anyhow::Result<Shared> {
    let token = settings.files.command_token.as_ref().context("name command_token_file")?;
    let token = Secret::read(token)?;
    let watch = TablesWatch::start(WatchSettings {
        link: LinkSettings { addrs: settings.control.clone(), ..LinkSettings::default() },
        ..WatchSettings::default()
    });
    let life = RouterId(format!("{}-{:08x}", settings.vm, rand::random::<u32>()));
    let link = watch.link().clone();
    let ledger = ControlLedger::new(link.clone(), token, life, clock.clone());
    Ok((Rc::new(ControlTables(watch)), Rc::new(ledger), Some(link)))
}

/// Serves until the second step of a stop is over.
///
/// # Errors
/// When the metrics cannot be registered.
pub async fn serve(
    settings: RouterSettings,
    parts: Parts,
    bound: Bound,
    mut stop_requests: impl Stream<Item = ()> + Unpin,
) -> anyhow::Result<Stopped> {
    let registry = Registry::new();
    telemetry::register_process_metrics(&registry)?;
    let pipeline = pipeline(&settings, &parts, &registry)?;
    let readiness = Rc::new(Cell::new(Readiness::Starting));
    let health = RouterHealth { readiness: Rc::clone(&readiness) };
    let admin = Admin::new(registry, Rc::new(health));
    let admin = Rc::new(RouterAdmin { admin, services: Rc::clone(&pipeline.services) });
    let admin_settings = ServerSettings::default();
    monoio::spawn(server::serve(bound.admin, admin_settings, StopSignals::default(), admin));
    monoio::spawn(follow_tables(
        pipeline.clone(),
        Rc::clone(&parts.workspaces),
        Rc::clone(&readiness),
    ));
    share_with_domain(&settings, &parts, &pipeline);

    for peer in &settings.peers {
        let period = Duration::from_millis(settings.peer_period_ms);
        let services = Rc::clone(&pipeline.services);
        monoio::spawn(quarantine_exchange::follow(*peer, period, services));
    }
    if let Some(addr) = settings.platform {
        let (services, tables) = (Rc::clone(&pipeline.services), Rc::clone(&pipeline.tables));
        let period = Duration::from_millis(settings.platform_period_ms);
        monoio::spawn(platform::follow(addr, period, services, tables));
    }

    let (drain, draining) = signal::signal();
    let (close, closing) = signal::signal();
    let stop = StopSignals { draining, closing };
    let callers =
        server::serve(bound.callers, settings.server.to_settings(), stop, Rc::new(pipeline));
    let mut callers = monoio::spawn(callers).fuse();
    tracing::info!(event = "serving", vm = %settings.vm, failure_domain = %settings.failure_domain);

    stop_requests.next().await;
    tracing::info!(event = "draining", delay_ms = settings.drain_delay_ms);
    readiness.set(Readiness::Draining);
    drain.raise();
    let delay = time::sleep(Duration::from_millis(settings.drain_delay_ms)).fuse();
    pin_mut!(delay);
    select_biased! {
        () = delay => {}
        _ = stop_requests.next().fuse() => return Ok(Stopped::AtOnce),
    }
    tracing::info!(event = "closing");
    close.raise();
    select_biased! {
        () = callers => {
            tracing::info!(event = "stopped");
            Ok(Stopped::Gracefully)
        }
        _ = stop_requests.next().fuse() => Ok(Stopped::AtOnce),
    }
}

/// Reads load reports, and shares them through the hub where there is one.
fn share_with_domain(settings: &RouterSettings, parts: &Parts, pipeline: &Pipeline) {
    let (services, tables) = (Rc::clone(&pipeline.services), Rc::clone(&pipeline.tables));
    let readings = Readings::default();
    let owns: Owns = match &parts.link {
        None => Rc::new(|_| true),
        Some(link) => {
            let member =
                RouterMember::new(Rc::clone(&services), Rc::clone(&tables), readings.clone());
            let interval = Duration::from_millis(settings.exchange_period_ms);
            let clock = Rc::clone(&parts.clock);
            let domain =
                Domain::start(&settings.vm, link.clone(), clock, interval, Rc::new(member));
            Rc::new(move |addr| domain.owns(addr))
        }
    };
    monoio::spawn(load_reports::poll(services, tables, owns, readings));
}

fn pipeline(
    settings: &RouterSettings,
    parts: &Parts,
    registry: &Registry,
) -> anyhow::Result<Pipeline> {
    let backends = Backends::new(settings.backends, Rc::clone(&parts.clock));
    let policy_settings = policy::Settings {
        seed: parts.seed,
        routers: settings.routers,
        ..policy::Settings::default()
    };
    let prober = Rc::new(backends.clone());
    let clock = Rc::clone(&parts.clock);
    let dispatcher = Dispatcher::new(clock, prober, policy_settings, &settings.failure_domain);
    let services = Services {
        clock: Rc::clone(&parts.clock),
        backends,
        dispatcher,
        ledger: Rc::clone(&parts.ledger),
        metrics: Metrics::register(registry)?,
        reception: Reception::new(ChaCha8Rng::seed_from_u64(parts.seed)),
        waits: settings.waits,
    };
    Ok(Pipeline {
        services: Rc::new(services),
        identity: Identity::new(Rc::clone(&parts.workspaces)),
        tables: Rc::clone(&parts.tables),
        limits: ClassLimits::default(),
    })
}

/// Puts each new revision of the tables in force.
async fn follow_tables(
    pipeline: Pipeline,
    workspaces: Rc<Workspaces>,
    readiness: Rc<Cell<Readiness>>,
) {
    loop {
        let tables = pipeline.tables.current();
        if !tables.routes.is_empty() {
            pipeline.services.dispatcher.configure(&tables, &workspaces);
            pipeline.services.metrics.revision(tables.revision.0);
            tracing::info!(event = "tables", revision = %tables.revision);
            if readiness.get() == Readiness::Starting {
                readiness.set(Readiness::Ready);
            }
        }
        pipeline.tables.newer_than(tables.revision).await;
    }
}
