//! Settings of the stand-ins, as structs with defaults.

mod ini;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use derive_more::FromStr;

pub use self::ini::apply;
use crate::{Faults, VmEntry};

const UNSCALED_PERMILLE: u64 = 1_000;

/// Where and how a stand-in listens.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// The address; port 0 takes any free one.
    pub listen: SocketAddr,
    /// What stands between the listener and the service.
    pub front: FrontKind,
    /// What a crash ends.
    pub on_crash: OnCrash,
    /// The faults at the start.
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

/// What stands between the listener and the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum FrontKind {
    /// A relay of bytes, which can silence connections and spoil the framing of replies.
    Relay,
    /// Nothing, for measurements in which the relay's copying would count.
    Direct,
}

/// What a crash ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnCrash {
    /// The process, as a real crash would.
    ExitProcess,
    /// All connections and the listener, for servers inside a test.
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
    /// Capacity and speed.
    pub model: engine_model::EngineSettings,
    /// Real time against the model's time: 1,000 is real time, 100 ten times as fast.
    pub time_scale_permille: u64,
    /// How old a load report is.
    pub report_lag_ms: u64,
    /// How late a cache event is seen.
    pub cache_event_lag_ms: u64,
    /// Loses each cache event whose number is a multiple of this; 0 loses none.
    pub lost_cache_event_every: u64,
    /// How long a stream that nobody reads is kept for a resume.
    pub detached_keep_ms: u64,
    /// How long an order to load, unload or change role takes.
    pub order_work_ms: u64,
    /// Whether old fencing numbers are refused.
    pub fencing: Fencing,
    /// The models loaded at the start; none means that every model is served.
    pub models: Vec<String>,
    /// Given in load reports; rises each time that the engine is started anew.
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
    /// An order with an old number is refused.
    Enforced,
    /// Every order is applied.
    Ignored,
}

/// The order service.
#[derive(Debug, Clone, Default)]
pub struct OrderSettings {
    /// Time that the execution of an order takes.
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
    /// Time that a lookup takes.
    pub work_ms: u64,
}

impl LookupSettings {
    pub(crate) fn work_time(&self, slowdown_permille: u64) -> Duration {
        scaled(Duration::from_millis(self.work_ms), slowdown_permille)
    }
}

/// The platform's list.
#[derive(Debug, Clone, Default)]
pub struct PlatformSettings {
    /// How old the list is that readers see.
    pub list_lag_ms: u64,
    /// Shows, at each read whose number is a multiple of this, the list before the newest change,
    /// as a list that comes out of order does; 0 never does.
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
