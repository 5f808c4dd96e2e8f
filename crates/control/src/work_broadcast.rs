//! Sends the pending work of this control VM's routers at each backend server to the other control
//! VMs.

use std::{cell::RefCell, rc::Rc, time::Duration};

use clock::Clock;
use dissemination::Hub;

use crate::{envelope::Envelope, replica::Replica};

/// The interval of the routers' own exchanges on a platform; later sums are of no more use.
const PERIOD: Duration = Duration::from_millis(250);

/// Sends the pending work at a fixed interval for the lifetime of the process.
pub(crate) async fn run(replica: Rc<Replica>, hub: Rc<RefCell<Hub>>, clock: Rc<dyn Clock>) {
    loop {
        monoio::time::sleep(PERIOD).await;
        let rows = hub.borrow_mut().own_work(clock.now());
        if rows.is_empty() {
            continue;
        }
        let hub = replica.status().me.node.0;
        replica.broadcast(&Envelope::Work { hub, rows });
    }
}
