//! Health and metrics of a control VM over HTTP.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Bytes, Method, StatusCode,
    server::{Handler, Reply, Request},
};
use prometheus::{IntGauge, Registry};

use crate::{replica::Replica, tables_feed::TablesFeed};

/// Serves `/healthz`, `/readyz` and `/metrics`.
pub(crate) struct Admin {
    replica: Rc<Replica>,
    feed: Rc<TablesFeed>,
    registry: Registry,
    gauges: Gauges,
}

struct Gauges {
    revision: IntGauge,
    term: IntGauge,
    applied: IntGauge,
    is_leader: IntGauge,
    peer_sent: IntGauge,
    peer_received: IntGauge,
    clients_sent: IntGauge,
    clients_received: IntGauge,
}

impl Admin {
    pub(crate) fn new(
        replica: Rc<Replica>,
        feed: Rc<TablesFeed>,
        registry: Registry,
    ) -> anyhow::Result<Admin> {
        telemetry::register_process_metrics(&registry)?;
        let gauges = Gauges::register(&registry)?;
        Ok(Admin { replica, feed, registry, gauges })
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.method != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n".to_owned());
        }
        match request.uri.path() {
            "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => self.readiness(),
            "/metrics" => text(StatusCode::OK, self.metrics()),
            _ => text(StatusCode::NOT_FOUND, "use /healthz, /readyz or /metrics\n".to_owned()),
        }
    }

    /// A control VM is ready once it knows a leader: it can then pass commands on.
    fn readiness(&self) -> Reply {
        match self.replica.status().leader {
            Some(leader) => text(StatusCode::OK, format!("ready leader={leader}\n")),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "no leader is known\n".to_owned()),
        }
    }

    fn metrics(&self) -> String {
        let status = self.replica.status();
        let (sent, received) = self.replica.peer_bytes();
        self.gauges.revision.set(self.feed.revision().0 as i64);
        self.gauges.term.set(status.term.0 as i64);
        self.gauges.applied.set(status.applied.0 as i64);
        self.gauges.is_leader.set(i64::from(!status.lease_left.is_zero()));
        self.gauges.peer_sent.set(sent as i64);
        self.gauges.peer_received.set(received as i64);
        self.gauges.clients_sent.set(self.feed.counters().sent_bytes() as i64);
        self.gauges.clients_received.set(self.feed.counters().received_bytes() as i64);
        telemetry::render_metrics(&self.registry)
    }
}

impl Handler for Admin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = self.answer(&request);
        async { reply }.boxed_local()
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
            peer_sent: gauge("control_peer_sent_bytes", "Bytes sent to other control VMs.")?,
            peer_received: gauge("control_peer_received_bytes", "Bytes from other control VMs.")?,
            clients_sent: gauge("control_clients_sent_bytes", "Bytes sent on accepted links.")?,
            clients_received: gauge("control_clients_received_bytes", "Bytes from accepted links.")?,
        })
    }
}

fn text(status: StatusCode, body: String) -> Reply {
    Reply::typed(status, "text/plain; charset=utf-8", Bytes::from(body))
}
