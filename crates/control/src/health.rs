//! The health checks and metrics on the admin listener of a control VM.

use std::rc::Rc;

use ::daemon::Health;
use prometheus::{IntGauge, Registry};

use crate::{replica::Replica, tables_feed::TablesFeed};

/// The health and the metrics of a control VM.
pub(crate) struct ControlHealth {
    replica: Rc<Replica>,
    feed: Rc<TablesFeed>,
    gauges: Gauges,
}

struct Gauges {
    revision: IntGauge,
    term: IntGauge,
    applied: IntGauge,
    is_leader: IntGauge,
    is_disk_full: IntGauge,
    peer_sent: IntGauge,
    peer_received: IntGauge,
    clients_sent: IntGauge,
    clients_received: IntGauge,
}

impl ControlHealth {
    /// Adds the metrics to `registry`.
    pub(crate) fn register(
        replica: Rc<Replica>,
        feed: Rc<TablesFeed>,
        registry: &Registry,
    ) -> anyhow::Result<ControlHealth> {
        telemetry::register_process_metrics(registry)?;
        Ok(ControlHealth { replica, feed, gauges: Gauges::register(registry)? })
    }
}

impl Health for ControlHealth {
    /// A control VM is ready while it knows a leader, to which it can forward commands, and its disk
    /// takes writes.
    fn ready(&self) -> Result<String, String> {
        if self.replica.is_disk_full() {
            return Err("the disk is full".to_owned());
        }
        match self.replica.status().leader {
            Some(leader) => Ok(format!("ready leader={leader}")),
            None => Err("no leader is known".to_owned()),
        }
    }

    fn refresh_metrics(&self) {
        let status = self.replica.status();
        let (peer_sent, peer_received) = self.replica.peer_bytes();
        let clients = self.feed.counters();
        self.gauges.revision.set(self.feed.revision().0 as i64);
        self.gauges.term.set(status.term.0 as i64);
        self.gauges.applied.set(status.applied.0 as i64);
        self.gauges.is_leader.set(i64::from(!status.lease_left.is_zero()));
        self.gauges.is_disk_full.set(i64::from(self.replica.is_disk_full()));
        self.gauges.peer_sent.set(peer_sent as i64);
        self.gauges.peer_received.set(peer_received as i64);
        self.gauges.clients_sent.set(clients.sent_bytes() as i64);
        self.gauges.clients_received.set(clients.received_bytes() as i64);
    }
}

impl Gauges {
    fn register(registry: &Registry) -> anyhow::Result<Gauges> {
        let gauge = |name: &str, help: &str| -> anyhow::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Gauges {
            revision: gauge("control_tables_revision", "Revision of the tables applied here.")?,
            term: gauge("control_term", "Term of the replicated log.")?,
            applied: gauge("control_applied_index", "Last log index applied here.")?,
            is_leader: gauge("control_is_leader", "1 while this member leads under a lease.")?,
            is_disk_full: gauge(
                "control_disk_full",
                "1 while a write waits because the disk is full.",
            )?,
            peer_sent: gauge("control_peer_sent_bytes", "Bytes sent to other control VMs.")?,
            peer_received: gauge("control_peer_received_bytes", "Bytes from other control VMs.")?,
            clients_sent: gauge("control_clients_sent_bytes", "Bytes sent on accepted links.")?,
            clients_received: gauge(
                "control_clients_received_bytes",
                "Bytes received on accepted links.",
            )?,
        })
    }
}
