//! Sends what this control VM's routers report to the other control VMs: the pending work at each
//! backend server, the servers that are down, the causes of crashes, the rate limits of servers, the
//! permits that they need, the pauses that they have measured, and the routers that serve requests of
//! others.

use std::{cell::RefCell, rc::Rc, time::Duration};

use clock::Clock;
use consensus::NodeId;
use dissemination::{Hub, HubNews, HubPermitRequest, PermitDesk};

use crate::{envelope::Envelope, replica::Replica};

/// The interval of the routers' own exchanges on a platform; later sums are of no more use.
const WORK_PERIOD: Duration = Duration::from_millis(250);
/// The interval at which the permits are asked for and issued, which is that of the routers' exchanges.
const PERMIT_PERIOD: Duration = Duration::from_millis(250);
/// The interval at which news is repeated, for control VMs that have restarted or were cut off.
const NEWS_PERIOD: Duration = Duration::from_secs(2);

/// The periodic messages of a hub.
#[derive(Clone)]
pub(crate) struct HubBroadcast {
    pub(crate) replica: Rc<Replica>,
    pub(crate) hub: Rc<RefCell<Hub>>,
    pub(crate) desk: Rc<RefCell<PermitDesk>>,
    pub(crate) clock: Rc<dyn Clock>,
}

impl HubBroadcast {
    /// Sends the pending work and the streams that have begun, at a fixed interval for the lifetime of
    /// the process.
    pub(crate) async fn send_work(self) {
        loop {
            monoio::time::sleep(WORK_PERIOD).await;
            let rows = self.hub.borrow_mut().own_work(self.clock.now());
            let begun_streams = self.hub.borrow_mut().take_new_streams();
            let down = self.hub.borrow_mut().own_down(self.clock.now());
            if rows.is_empty() && begun_streams.is_empty() && down.is_empty() {
                continue;
            }
            let hub = self.replica.status().me.node.0;
            self.replica.broadcast(&Envelope::Work { hub, rows, begun_streams, down });
        }
    }

    /// Repeats the latest news at a fixed interval for the lifetime of the process.
    pub(crate) async fn repeat_news(self) {
        loop {
            monoio::time::sleep(NEWS_PERIOD).await;
            let news = self.hub.borrow_mut().repeated_news(self.clock.now());
            send_news(&self.replica, news);
            self.send_routers();
        }
    }

    /// Names some of this control VM's routers to the others, and the pauses that its routers have measured.
    fn send_routers(&self) {
        let peers = self.hub.borrow().own_peers();
        let pauses = self.hub.borrow_mut().own_pauses(self.clock.now());
        if !peers.is_empty() || !pauses.is_empty() {
            let hub = self.replica.status().me.node.0;
            self.replica.broadcast(&Envelope::RouterPeers { hub, peers, pauses });
        }
    }

    /// Asks the leader for permits, and issues them while this control VM leads, for the lifetime of
    /// the process.
    pub(crate) async fn share_permits(self) {
        loop {
            monoio::time::sleep(PERMIT_PERIOD).await;
            self.ask_for_permits();
            self.issue_permits();
        }
    }

    fn ask_for_permits(&self) {
        let rows = self.hub.borrow_mut().permit_requests(self.clock.now());
        let status = self.replica.status();
        let Some(leader) = status.leader.filter(|_| !rows.is_empty()) else { return };
        let hub = status.me.node.0;
        match leader == status.me {
            true => self.record_requests(hub, &rows),
            false => self.replica.send(leader.node, &Envelope::PermitRequests { hub, rows }),
        }
    }

    /// Records the permits that a hub asks for.
    pub(crate) fn record_requests(&self, hub: u64, rows: &[HubPermitRequest]) {
        self.desk.borrow_mut().update(self.clock.now(), hub, rows);
    }

    /// Only the leader under a lease issues permits, so that no two control VMs do. A new leader has an
    /// empty desk.
    fn issue_permits(&self) {
        if !self.replica.leads() {
            self.desk.replace(PermitDesk::default());
            return;
        }
        let me = self.replica.status().me.node.0;
        for (hub, grants) in self.desk.borrow_mut().issue(self.clock.now()) {
            match hub == me {
                true => self.hub.borrow_mut().permits_granted(self.clock.now(), &grants),
                false => self.replica.send(NodeId(hub), &Envelope::Permits(grants)),
            }
        }
    }
}

/// Sends news at once: a crashing request may be sent again at any router, and all routers together
/// keep to a limit.
pub(crate) fn send_news(replica: &Replica, news: HubNews) {
    if !news.is_empty() {
        replica.broadcast(&Envelope::News(news));
    }
}
