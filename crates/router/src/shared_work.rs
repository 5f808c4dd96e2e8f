//! Exchanges the load of backend servers between the routers of a platform, through the control
//! VMs.
//!
//! With many routers, each one causes only a small part of a server's load. So each router reports
//! the work of its own requests at each server and receives that of all other routers.

use std::{rc::Rc, time::Instant};

use control_client::DomainMember;
use dissemination::{MemberState, QuarantineRow, ServerWork, Summary};

use crate::{services::Services, table_source::TableSource};

/// This router's side of the exchange of work.
pub(crate) struct WorkMember {
    pub(crate) services: Rc<Services>,
    pub(crate) tables: Rc<dyn TableSource>,
}

impl DomainMember for WorkMember {
    fn report(&self, state: &MemberState, empty: Summary) -> Summary {
        let tables = self.tables.current();
        let pools = tables.pools.iter();
        let work = pools.flat_map(|it| self.services.dispatcher.own_work(&it.name));
        let work =
            work.map(|(addr, work)| ServerWork { server: state.server_ref(addr), work }).collect();
        Summary { work, ..empty }
    }

    fn apply_digest(&self, state: &MemberState, _sent: Instant, _quarantine: &[QuarantineRow]) {
        for pool in &self.tables.current().pools {
            self.services.dispatcher.set_others_work(&pool.name, state.others_work());
        }
    }
}
