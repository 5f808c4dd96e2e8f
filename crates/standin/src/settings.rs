//! Settings of the stand-ins and their defaults.

mod ini;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use derive_more::FromStr;

pub use self::ini::apply;
use crate::{Faults, VmEntry};

const UNSCALED_PERMILLE: u64 = 1_000;

/// Settings of the listener and the faults at the start.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// The address to bind; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Whether a relay runs in front of the service.
    pub front: FrontKind,
    /// The effect of a crash fault.
    pub on_crash: OnCrash,
    /// The faults that are active at the start.
    pub faults: Faults,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            front: FrontKind::Relay,
            on_crash: OnCrash::CloseAll,
            faults: Faults::default(),
        }
    }
}

/// Whether a relay runs between the callers and the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum FrontKind {
    /// A TCP relay, which can silence connections and corrupt the framing of replies.
    Relay,
    /// No relay, for measurements that the relay's copying would distort.
    Direct,
}

/// The effect of a crash fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnCrash {
    /// Exits the process, like a real crash.
    ExitProcess,
    /// Closes all connections and the listener, for servers that share a test's process.
    CloseAll,
}

/// Which service to run, and its settings.
#[derive(Debug, Clone)]
pub enum ServiceSettings {
    /// A model engine.
    Engine(EngineSettings),
    /// The order service.
    Orders(OrderSettings),
    /// The lookup service.
    Lookup(LookupSettings),
    /// The platform's list of VMs.
    Platform(PlatformSettings),
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Capacity and speed of the simulated engine.
    pub model: engine_model::EngineSettings,
    /// Real time per simulated time: 1,000 is real time, 100 ten times as fast.
    pub time_scale_permille: u64,
    /// Lag of load reports behind the engine's state.
    pub report_lag_ms: u64,
    /// Delay until a cache event becomes visible.
    pub cache_event_lag_ms: u64,
    /// Drops each cache event whose sequence number is a multiple of this; 0 drops none.
    pub lost_cache_event_every: u64,
    /// How long a stream without a reader is retained for a resume.
    pub detached_keep_ms: u64,
    /// How long an order to load or unload a model or to change role takes.
    pub order_work_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// The models loaded at the start; an empty list means that every model is served.
    pub models: Vec<String>,
    /// Included in load reports; increases with each restart of the engine.
    pub incarnation: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            model: engine_model::EngineSettings::default(),
            time_scale_permille: UNSCALED_PERMILLE,
            report_lag_ms: 500,
            cache_event_lag_ms: 500,
            lost_cache_event_every: 0,
            detached_keep_ms: 10_000,
            order_work_ms: 0,
            fencing: Fencing::Enforced,
            models: Vec::new(),
            incarnation: 1,
        }
    }
}

impl EngineSettings {
    pub(crate) fn scaled(&self, model_time: Duration) -> Duration {
        scaled(model_time, self.time_scale_permille)
    }

    pub(crate) fn report_lag(&self) -> Duration {
        Duration::from_millis(self.report_lag_ms)
    }

    pub(crate) fn cache_event_lag(&self) -> Duration {
        Duration::from_millis(self.cache_event_lag_ms)
    }

    pub(crate) fn detached_keep(&self) -> Duration {
        Duration::from_millis(self.detached_keep_ms)
    }

    pub(crate) fn order_work(&self) -> Duration {
        Duration::from_millis(self.order_work_ms)
    }
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum Fencing {
    /// Orders with an old number are refused.
    Enforced,
    /// Every order is applied.
    Ignored,
}

/// The order service.
#[derive(Debug, Clone, Default)]
pub struct OrderSettings {
    /// How long the execution of an order takes.
    pub work_ms: u64,
}

impl OrderSettings {
    pub(crate) fn work_time(&self, slowdown_permille: u64) -> Duration {
        scaled(Duration::from_millis(self.work_ms), slowdown_permille)
    }
}

/// The lookup service.
#[derive(Debug, Clone, Default)]
pub struct LookupSettings {
    /// How long a lookup takes.
    pub work_ms: u64,
}

impl LookupSettings {
    pub(crate) fn work_time(&self, slowdown_permille: u64) -> Duration {
        scaled(Duration::from_millis(self.work_ms), slowdown_permille)
    }
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default)]
pub struct PlatformSettings {
    /// Delay until a change of the list becomes visible.
    pub list_lag_ms: u64,
    /// Each read whose number is a multiple of this returns the list before the latest change, like
    /// a reply that arrives out of order; 0 disables this.
    pub stale_read_every: u64,
    /// The VMs at the start.
    pub vms: Vec<VmEntry>,
}

impl PlatformSettings {
    pub(crate) fn list_lag(&self) -> Duration {
        Duration::from_millis(self.list_lag_ms)
    }
}

fn scaled(time: Duration, permille: u64) -> Duration {
    let scaled_us = time.as_micros() * u128::from(permille) / u128::from(UNSCALED_PERMILLE);
    Duration::from_micros(scaled_us.try_into().unwrap_or(u64::MAX))
}
