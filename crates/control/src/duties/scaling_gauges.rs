//! The metrics of the orders of servers, by pool and failure domain.

use prometheus::{IntGaugeVec, Opts, Registry};
use scaling::{DomainServers, Target};

/// The gauges of the number of servers.
#[derive(Clone)]
pub(crate) struct ScalingGauges {
    wanted: IntGaugeVec,
    ordered: IntGaugeVec,
    serving: IntGaugeVec,
    leaving: IntGaugeVec,
}

impl ScalingGauges {
    /// Adds the gauges to `registry`.
    pub(crate) fn register(registry: &Registry) -> anyhow::Result<ScalingGauges> {
        let gauge = |name: &str, help: &str, labels: &[&str]| -> anyhow::Result<IntGaugeVec> {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let (domain, kind) = (["pool", "failure_domain"], ["pool", "failure_domain", "kind"]);
        Ok(ScalingGauges {
            wanted: gauge("control_servers_wanted", "Servers that a pool is to have.", &kind)?,
            ordered: gauge(
                "control_servers_ordered",
                "Servers last accepted by the platform.",
                &kind,
            )?,
            serving: gauge("control_servers_serving", "Servers in the list that serve.", &kind)?,
            leaving: gauge("control_servers_leaving", "Spot servers about to leave.", &domain)?,
        })
    }

    /// Shows the numbers of one failure domain; what was accepted is unknown at first.
    pub(crate) fn set(
        &self,
        pool: &str,
        target: &Target,
        accepted: [Option<u32>; 2],
        listed: &DomainServers,
    ) {
        let domain = target.failure_domain.as_str();
        let [firm, spot] = accepted;
        let kinds = [
            ("firm", target.firm.unwrap_or(listed.firm), firm, listed.firm),
            ("spot", target.spot, spot, listed.spot),
        ];
        for (kind, wanted, accepted, serving) in kinds {
            let labels = [pool, domain, kind];
            self.wanted.with_label_values(&labels).set(wanted.into());
            self.serving.with_label_values(&labels).set(serving.into());
            if let Some(accepted) = accepted {
                self.ordered.with_label_values(&labels).set(accepted.into());
            }
        }
        self.leaving.with_label_values(&[pool, domain]).set(listed.spot_leaving.into());
    }

    /// Removes all numbers: another VM orders the servers.
    pub(crate) fn clear(&self) {
        [&self.wanted, &self.ordered, &self.serving, &self.leaving]
            .iter()
            .for_each(|it| it.reset());
    }
}
