//! Tells the other control VMs what the requests of this one's routers take at each backend server.

use std::{cell::RefCell, rc::Rc, time::Duration};

use clock::Clock;
use dissemination::Hub;

use crate::{envelope::Envelope, replica::Replica};

/// The pace of the routers' own exchanges on a platform; a sum that comes later is not worth more.
const PERIOD: Duration = Duration::from_millis(250);

/// Tells them for as long as the process lives.
pub(crate) async fn tell_others(replica: Rc<Replica>, hub: Rc<RefCell<Hub>>, clock: Rc<dyn Clock>) {
    loop {
        monoio::time::sleep(PERIOD).await;
        let rows = hub.borrow_mut().own_work(clock.now());
        if rows.is_empty() {
            continue;
        }
        let hub = replica.status().me.node.0;
        replica.tell_members(&Envelope::Work { hub, rows });
    }
}
