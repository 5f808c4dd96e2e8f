//! The files of a site are valid and have the requested size.

use load::capacity::{SiteSize, tables_text, workspaces_text};
use tables::{Revision, check};

#[test]
fn valid_tables() {
    let text = tables_text(SiteSize { replicas: 500, workspaces: 1 });
    let tables = check(Revision(1), &text).expect("the tables are valid");
    assert_eq!(tables.routes.len(), 6);
    let servers = &tables.pools[0].servers;
    assert_eq!(servers.len(), 500);
    assert!(servers.iter().all(|it| it.addr.ip().is_loopback()));
    let mut addrs: Vec<_> = servers.iter().map(|it| it.addr).collect();
    addrs.sort();
    addrs.dedup();
    assert_eq!(addrs.len(), 500);
}

#[test]
fn one_token_per_workspace() {
    let text = workspaces_text(SiteSize { replicas: 1, workspaces: 3 });
    assert_eq!(text.matches("token = ").count(), 3);
}
