//! The settings files of a site's processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

/// A port below the range that the system assigns to outgoing connections.
const PORT: u16 = 7100;
const SITES_MAX: u8 = 5;
const ADDRESSES_PER_SITE: u8 = 50;
/// No test kills a router that it has stopped, so a stop may take as long as a busy machine needs.
const STOP_GRACE_S: u64 = 600;

pub(crate) const COMMAND_TOKEN: &str = "command-token";
pub(crate) const CALLER_TOKEN: &str = "caller-token";

static ALLOCATED_SITES: AtomicU8 = AtomicU8::new(0);

/// The loopback addresses of a site; holds the offset of their last byte.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SiteAddresses(u8);

impl SiteAddresses {
    /// Allocates addresses that no other site uses. Concurrent test processes differ in their
    /// process id, and the high bit of the second byte separates them from other crates' tests.
    pub(crate) fn allocate() -> SiteAddresses {
        let site = ALLOCATED_SITES.fetch_add(1, Ordering::SeqCst);
        assert!(
            site < SITES_MAX,
            "too many sites in one test program, at most {SITES_MAX}: move some tests to another file"
        );
        SiteAddresses(site * ADDRESSES_PER_SITE)
    }

    /// The address of a process such as `router-1`.
    pub(crate) fn addr(self, name: &str) -> SocketAddr {
        let (kind, number) = name.rsplit_once('-').expect("a name such as router-1");
        let number: u8 = number.parse().expect("a number");
        let base = match kind {
            "control" => 0,
            "router" => 10,
            "engine" => 20,
            "orders" => 30,
            _ => panic!("no such program: {kind}"),
        };
        let [_, _, high, low] = process::id().to_be_bytes();
        SocketAddr::from(([127, high | 0x80, low, self.0 + base + number], PORT))
    }

    pub(crate) fn admin(self, name: &str) -> SocketAddr {
        SocketAddr::new(self.addr(name).ip(), PORT + 1)
    }
}

pub(crate) fn path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.ini"))
}

pub(crate) fn write(dir: &Path, name: &str, text: &str) {
    fs::write(path(dir, name), text).expect("the test folder is writable");
}

pub(crate) fn write_shared(dir: &Path) {
    let write =
        |name, text: &str| fs::write(dir.join(name), text).expect("the test folder is writable");
    write("command.token", COMMAND_TOKEN);
    write("peer.token", "peer-token");
    write("workspaces.ini", &format!("[north]\ntoken = {CALLER_TOKEN}\n"));
}

pub(crate) fn control(dir: &Path, net: SiteAddresses, name: &str, peers: &[String]) -> String {
    let (listen, admin) = (net.addr(name), net.admin(name));
    let list = peers.iter().zip(1..).map(|(it, n)| format!("{n} = {}\n", net.addr(it)));
    let list: String = list.collect();
    let node = name.trim_start_matches("control-");
    let dir = dir.display();
    format!(
        "[control]\nnode = {node}\nfailure_domain = fd-{node}\nlisten = {listen}\n\
         admin_listen = {admin}\ndata_dir = {dir}/data-{node}\n\
         command_token_file = {dir}/command.token\npeer_token_file = {dir}/peer.token\n\
         snapshot_every_entries = 100\n[peers]\n{list}"
    )
}

pub(crate) fn router(dir: &Path, net: SiteAddresses, name: &str, control: &[SocketAddr]) -> String {
    let (listen, admin) = (net.addr(name), net.admin(name));
    let peer = if name == "router-1" { "router-2" } else { "router-1" };
    let peer = net.admin(peer);
    let control = joined(control);
    let dir = dir.display();
    format!(
        "[router]\nvm = {name}\nfailure_domain = fd-1\nlisten = {listen}\nadmin_listen = {admin}\n\
         routers = 2\ndrain_delay_ms = 300\nstop_grace_s = {STOP_GRACE_S}\n\
         workspaces_file = {dir}/workspaces.ini\n\
         control = {control}\ncommand_token_file = {dir}/command.token\npeers = {peer}\n\
         [waits]\nledger_timeout_ms = 2000\n"
    )
}

pub(crate) fn engine(net: SiteAddresses, name: &str) -> String {
    format!("[server]\nlisten = {}\n[engine]\nmodels = small\n", net.addr(name))
}

pub(crate) fn orders(net: SiteAddresses, name: &str, work_ms: u64) -> String {
    format!("[server]\nlisten = {}\n[orders]\nwork_ms = {work_ms}\n", net.addr(name))
}

pub(crate) fn routes(chat_deadline_ms: u64) -> String {
    format!(
        "[chat]\npath = /v1/chat/completions\npriority = 0\npool = models\nidempotent = yes\n\
         deadline_ms = {chat_deadline_ms}\nretries_max = 5\nretry_budget_permille = 1000\n\
         [order]\npath = /orders\npriority = 1\npool = orders\nidempotent = no\n\
         deadline_ms = 20000\n"
    )
}

pub(crate) fn pools(net: SiteAddresses, engines: &[String]) -> String {
    let servers: Vec<_> = engines.iter().map(|it| format!("{}@fd-1", net.addr(it))).collect();
    let servers = servers.join(", ");
    let orders = net.addr("orders-1");
    format!(
        "[models]\nkind = engine\nmodel = small\nservers = {servers}\n\
         [orders]\nkind = service\nservers = {orders}@fd-1\n"
    )
}

fn joined(addrs: &[SocketAddr]) -> String {
    let addrs: Vec<_> = addrs.iter().map(SocketAddr::to_string).collect();
    addrs.join(", ")
}
