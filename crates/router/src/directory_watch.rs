//! Follows the platform's list for as long as the router runs.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::time;
use tables::Discovery;

use crate::{
    directory::{Absence, Directory, ListPage, ListedVm},
    services::Services,
    table_source::TableSource,
};

/// More pages than any list has; one that names itself as the next would go on for ever.
const PAGES_MAX: usize = 200;

/// Where and how the list is read.
pub(crate) struct DirectorySource {
    pub(crate) addr: SocketAddr,
    pub(crate) period: Duration,
    pub(crate) directory: Rc<dyn Directory>,
}

/// Passes the list on to the schedulers. New tables get the last list at once, since they may name
/// pools whose servers are known.
pub(crate) async fn follow(
    source: DirectorySource,
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
) {
    let mut was_read = true;
    let mut vms = Vec::new();
    loop {
        let listed = list(&services, &source).await;
        if listed.is_some() != was_read {
            was_read = listed.is_some();
            tracing::info!(event = "platform_list", addr = %source.addr, is_readable = was_read);
        }
        if let Some(listed) = listed {
            vms = listed;
            apply(&services, &*tables, &vms, source.directory.absence());
        }
        let due = services.clock.now() + source.period;
        loop {
            let left = due.saturating_duration_since(services.clock.now());
            let newer = tables.newer_than(tables.current().revision);
            if time::timeout(left, newer).await.is_err() {
                break;
            }
            apply(&services, &*tables, &vms, Absence::MeansNothing);
        }
    }
}

async fn list(services: &Services, source: &DirectorySource) -> Option<Vec<ListedVm>> {
    let (mut vms, mut token) = (Vec::new(), None);
    for _ in 0..PAGES_MAX {
        let page = page(services, source, token.as_deref()).await?;
        vms.extend(page.vms);
        token = page.next;
        if token.is_none() {
            return Some(vms);
        }
    }
    None
}

async fn page(
    services: &Services,
    source: &DirectorySource,
    token: Option<&str>,
) -> Option<ListPage> {
    let uri = source.directory.page_uri(token);
    let body = match services.backends.fetch(source.addr, uri).await {
        Ok(body) => body,
        Err(error) => {
            tracing::debug!(event = "platform_list_failed", addr = %source.addr, %error.detail);
            return None;
        }
    };
    match source.directory.read_page(&body) {
        Ok(page) => {
            if page.unreadable > 0 {
                tracing::debug!(event = "platform_entries_unreadable", count = page.unreadable);
            }
            Some(page)
        }
        Err(error) => {
            tracing::warn!(event = "platform_list_unreadable", addr = %source.addr, %error);
            None
        }
    }
}

fn apply(services: &Services, tables: &dyn TableSource, vms: &[ListedVm], absence: Absence) {
    let tables = tables.current();
    for pool in tables.pools.iter().filter(|it| it.discovery == Discovery::Platform) {
        let own: Vec<_> = vms.iter().filter(|it| it.pool == pool.name).collect();
        match absence {
            Absence::MeansNothing => services.dispatcher.platform_list(&pool.name, &own),
            Absence::MeansGone => services.dispatcher.whole_list(&pool.name, &own),
        }
    }
}
