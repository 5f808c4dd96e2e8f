//! The settings and token files of a test cluster.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
};

use tables::TablesText;

use super::TOKEN;

/// A port below the system's range of ephemeral ports.
const PORT: u16 = 7100;

/// A loopback address that no other test process uses: it is derived from the process id, which
/// differs between processes that run at the same time.
pub(crate) fn loopback_addr(net: u16, node: usize) -> SocketAddr {
    let id = process::id();
    let [_, _, high, low] = id.to_be_bytes();
    SocketAddr::from(([127, high | 0x40, low, 1 + node as u8 + 10 * net as u8], PORT))
}

pub(crate) fn settings_path(dir: &Path, node: usize) -> PathBuf {
    dir.join(format!("{node}.ini"))
}

pub(crate) fn data_dir(dir: &Path, node: usize) -> PathBuf {
    dir.join(format!("data-{node}"))
}

/// Writes the token files and one settings file per node.
pub(crate) fn write(dir: &Path, addrs: &[SocketAddr]) {
    fs::write(dir.join("command.token"), TOKEN).expect("the test folder is writable");
    fs::write(dir.join("peer.token"), "peer-token").expect("the test folder is writable");
    let peers: Vec<_> =
        addrs.iter().zip(1..).map(|(addr, node)| format!("{node} = {addr}")).collect();
    for (addr, node) in addrs.iter().zip(1..) {
        let text = settings_text(dir, node, *addr, &peers.join("\n"));
        fs::write(settings_path(dir, node), text).expect("the test folder is writable");
    }
}

/// Whether the seeds may bootstrap a cluster, which the platform allows at its first start only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    First,
    Later,
}

/// Writes the settings of one node whose id is derived from its address, with some seeds.
pub(crate) fn write_seeded(
    dir: &Path,
    node: usize,
    addr: SocketAddr,
    seeds: &[SocketAddr],
    start: Start,
) {
    let admin = SocketAddr::new(addr.ip(), PORT + 1);
    // The port of a seed is ignored.
    let seeds: Vec<_> = seeds.iter().map(|it| format!("{}:9", it.ip())).collect();
    let text = format!(
        "[control]\nfailure_domain = fd-{node}\nlisten = {addr}\nadmin_listen = {admin}\n\
         data_dir = {}/data-{node}\ntrust = network\nlosses_max = 1\nseeds = {}\nfound = {}\n",
        dir.display(),
        seeds.join(", "),
        start == Start::First,
    );
    fs::write(settings_path(dir, node), text).expect("the test folder is writable");
}

pub(crate) fn tables_text(number: u64) -> TablesText {
    TablesText {
        routes: format!(
            "[chat]\npath = /v1/chat/completions\npriority = 0\npool = models\n\
             deadline_ms = {}\nidempotent = yes\n",
            1000 + number
        ),
        pools: "[models]\nkind = engine\nmodel = small\nservers = 127.0.0.1:9001@fd-1\n".to_owned(),
    }
}

fn settings_text(dir: &Path, node: usize, addr: SocketAddr, peers: &str) -> String {
    let admin = SocketAddr::new(addr.ip(), PORT + 1);
    let dir = dir.display();
    format!(
        "[control]\nnode = {node}\nfailure_domain = fd-{node}\nlisten = {addr}\n\
         admin_listen = {admin}\ndata_dir = {dir}/data-{node}\n\
         command_token_file = {dir}/command.token\npeer_token_file = {dir}/peer.token\n\
         snapshot_every_entries = 100\n[peers]\n{peers}\n"
    )
}
