//! The duties that the leader of the log holds: usage reports, and orders of backend servers.
//!
//! Every control VM runs the tasks, but only the one that leads under its lease makes calls. The crate
//! `duties` decides when it may, and under which fencing token.

mod caller;
mod metering;
mod metrics;
mod ordering;
mod pool_demand;
mod report;
mod scaling_gauges;
mod shared_usage;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, str::FromStr, time::Duration};

use ::duties::{CallResult, ScaleOrder, UsageReport, WindowLength};
use clock::Clock;
use derive_more::{Display, Error};
use dissemination::Hub;
use httpio::{StatusCode, client::Request};
use prometheus::Registry;
use tables::TablesParser;

use crate::{replica::Replica, server_feed::ServerFeed};

pub(crate) use caller::DutyCaller;
pub(crate) use metering::{Metering, Sharing};
pub(crate) use metrics::DutyMetrics;
pub(crate) use ordering::Ordering;
pub(crate) use report::DutyReport;
pub(crate) use scaling_gauges::ScalingGauges;
pub(crate) use shared_usage::SharedUsage;

/// The holder of a duty and its token, which each call carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyCredentials<'a> {
    /// The name of the VM that holds the duty.
    pub holder: &'a str,
    /// The fencing token.
    pub token: u64,
}

/// A platform's notation of the calls that are a duty.
pub trait DutyApi {
    /// The request that reports the usage of a window.
    fn usage_request(&self, credentials: DutyCredentials<'_>, report: &UsageReport) -> Request;

    /// The request that orders servers.
    fn scale_request(&self, credentials: DutyCredentials<'_>, order: &ScaleOrder) -> Request;

    /// What the status of an answer says about the call.
    fn read_status(&self, status: StatusCode) -> CallResult;
}

/// A duty that a deployment asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Duty {
    /// Reports the requests that backend servers begin.
    #[display("metering")]
    Metering,
    /// Orders backend servers.
    #[display("autoscale")]
    Autoscaling,
}

/// The name is not that of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("write metering or autoscale")]
pub struct UnknownDuty;

impl FromStr for Duty {
    type Err = UnknownDuty;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Duty::Metering, Duty::Autoscaling]
            .into_iter()
            .find(|it| it.to_string() == text)
            .ok_or(UnknownDuty)
    }
}

/// The settings of the duties; without any duty in the list no call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySettings {
    /// The name of this VM, by which the platform knows the holder.
    pub vm: String,
    /// The duties of the deployment.
    pub duties: Vec<Duty>,
    /// The time that a new holder waits before its first call if another VM has held the duties.
    pub lease: Duration,
    /// The length of the windows of usage.
    pub usage_window: Duration,
    /// The time after the end of a window by which its usage is due.
    pub usage_late: Duration,
}

impl Default for DutySettings {
    fn default() -> Self {
        DutySettings {
            vm: String::new(),
            duties: Vec::new(),
            lease: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            usage_late: Duration::from_secs(10),
        }
    }
}

impl DutySettings {
    /// Whether the deployment asks for a duty.
    #[must_use]
    pub fn includes(&self, duty: Duty) -> bool {
        self.duties.contains(&duty)
    }

    fn window_length(&self) -> WindowLength {
        WindowLength(self.usage_window)
    }
}

/// What the tasks of the duties work with.
#[derive(Clone)]
pub(crate) struct DutyParts {
    pub(crate) settings: DutySettings,
    pub(crate) replica: Rc<Replica>,
    pub(crate) api: Rc<dyn DutyApi>,
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    pub(crate) usage: Rc<SharedUsage>,
    pub(crate) servers: Rc<ServerFeed>,
    pub(crate) hub: Rc<RefCell<Hub>>,
    pub(crate) tables_parser: Rc<dyn TablesParser>,
    pub(crate) gauges: ScalingGauges,
    pub(crate) clock: Rc<dyn Clock>,
}

/// Starts the tasks of the duties that the settings name, and adds their metrics to `registry`.
pub(crate) fn start(parts: DutyParts, registry: &Registry) -> anyhow::Result<()> {
    if parts.settings.duties.is_empty() {
        return Ok(());
    }
    let caller = Rc::new(DutyCaller::new(&parts, DutyMetrics::register(registry)?));
    if parts.settings.includes(Duty::Metering) {
        monoio::spawn(Sharing::new(&parts).run());
        monoio::spawn(Metering::new(&parts, Rc::clone(&caller)).run());
    }
    if parts.settings.includes(Duty::Autoscaling) {
        monoio::spawn(Ordering::new(&parts, caller).run());
    }
    Ok(())
}
