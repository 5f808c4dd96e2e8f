//! The components of a router besides its settings: where its tables come from, and whose protocol it
//! speaks.

use std::{net::SocketAddr, rc::Rc};

use anyhow::{Context, bail};
use clock::{Clock, SystemClock};
use control_client::{DocumentWatch, NearestControl, TablesWatch, WatchSettings};
use control_state::RouterId;
use directory::{Directory, VmList};
use rpc::{Link, LinkSettings, Trust};
use tables::TablesParser;
use telemetry::Secret;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{ControlLedger, ControlTables, DocumentTables},
    dialect::Dialect,
    identity::Workspaces,
    order_ledger::{NoLedger, OrderLedger},
    settings::RouterSettings,
    table_source::{FixedTables, TableSource},
};

/// The long-poll timeout for a newer document. The answer also shows whether the control VM still
/// follows a leader.
const DOCUMENT_POLL_MS: u64 = 1_000;

/// The components that a router uses besides its settings.
pub struct Components {
    /// The source of the tables.
    pub tables: Rc<dyn TableSource>,
    /// The ledger of claims on orders.
    pub ledger: Rc<dyn OrderLedger>,
    /// The workspaces, which identify callers.
    pub workspaces: Rc<Workspaces>,
    /// The link to the hub of the failure domain, if there is one.
    pub link: Option<Link>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The seed of request IDs and random choices.
    pub seed: u64,
    /// The protocol of callers and backend servers.
    pub interface: Interface,
    /// The format of the platform's list.
    pub directory: Rc<dyn Directory>,
    /// The token by which routers authenticate to one another; `None` if the network is trusted.
    pub token: Option<Secret>,
}

/// The protocol of callers and backend servers.
#[derive(Clone)]
pub enum Interface {
    /// The product's own protocol.
    Native,
    /// A dialect whose requests are forwarded unchanged.
    Relayed(Rc<dyn Dialect>),
}

/// The formats and conventions of a platform that a router runs on.
pub struct Platform {
    /// Parses the operator's document.
    pub parser: Rc<dyn TablesParser>,
    /// The header conventions of callers and backend servers.
    pub dialect: Rc<dyn Dialect>,
    /// The format of the platform's list.
    pub directory: Rc<dyn Directory>,
}

/// The components of a router with the product's own protocol.
///
/// # Errors
/// If a file that the settings name cannot be read.
pub(super) fn native_components(settings: &RouterSettings) -> anyhow::Result<Components> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let workspaces = match &settings.files.workspaces {
        Some(path) => Workspaces::read(path)?,
        None => Workspaces::default(),
    };
    let token = match (settings.trust, &settings.files.command_token) {
        (Trust::Tokens, Some(path)) => Some(Secret::read(path)?),
        (Trust::Tokens | Trust::Network, _) => None,
    };
    let (tables, ledger, link) = match &settings.control {
        Some(addrs) => from_control(settings, addrs, &clock)?,
        None => from_files(settings)?,
    };
    Ok(Components {
        tables,
        ledger,
        workspaces: Rc::new(workspaces),
        link,
        clock,
        seed: rand::random(),
        interface: Interface::Native,
        directory: Rc::new(VmList),
        token,
    })
}

/// The components of a router on a platform.
pub(super) fn platform_components(settings: &RouterSettings, platform: Platform) -> Components {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let sort_by_preference = control_order(&settings.vm);
    let mut addrs = settings.control.clone().unwrap_or_default();
    sort_by_preference(&mut addrs);
    let link = Link::start(LinkSettings { addrs, ..LinkSettings::default() });
    let watch = WatchSettings { poll_ms: DOCUMENT_POLL_MS, ..WatchSettings::default() };
    let documents =
        DocumentWatch::start(link.clone(), watch, Rc::clone(&clock), sort_by_preference);
    let (order, share) = (control_order(&settings.vm), rand::random());
    NearestControl::start(link.clone(), Rc::clone(&clock), order, share);
    Components {
        tables: Rc::new(DocumentTables::follow(documents, platform.parser)),
        ledger: Rc::new(NoLedger),
        workspaces: Rc::default(),
        link: Some(link),
        clock,
        seed: rand::random(),
        interface: Interface::Relayed(platform.dialect),
        directory: platform.directory,
        token: None,
    }
}

/// Orders the control VMs so that different routers connect to different ones first.
fn control_order(vm: &str) -> impl Fn(&mut Vec<SocketAddr>) + 'static {
    let hash = xxh3_64(vm.as_bytes());
    move |addrs| {
        addrs.sort();
        let first = hash.checked_rem(addrs.len() as u64).unwrap_or_default();
        addrs.rotate_left(first as usize);
    }
}

type TablesAndLedger = (Rc<dyn TableSource>, Rc<dyn OrderLedger>, Option<Link>);

fn from_files(settings: &RouterSettings) -> anyhow::Result<TablesAndLedger> {
    let (Some(routes), Some(pools)) = (&settings.files.routes, &settings.files.pools) else {
        bail!("no source of tables: name routes_file and pools_file in the settings");
    };
    Ok((Rc::new(FixedTables::read(routes, pools)?), Rc::new(NoLedger), None))
}

fn from_control(
    settings: &RouterSettings,
    addrs: &[SocketAddr],
    clock: &Rc<dyn Clock>,
) -> anyhow::Result<TablesAndLedger> {
    let token = settings
        .files
        .command_token
        .as_ref()
        .context("no command token: name command_token_file in the settings")?;
    let token = Secret::read(token)?;
    let watch = TablesWatch::start(WatchSettings {
        link: LinkSettings { addrs: addrs.to_vec(), ..LinkSettings::default() },
        ..WatchSettings::default()
    });
    let router_id = RouterId(format!("{}-{:08x}", settings.vm, rand::random::<u32>()));
    let link = watch.link().clone();
    let ledger = ControlLedger::new(link.clone(), token, router_id, clock.clone());
    Ok((Rc::new(ControlTables(watch)), Rc::new(ledger), Some(link)))
}
