//! Tables and light backend servers for a site of any size.
//!
//! A light backend server answers health, load and cache-event requests of a router and refuses all
//! other requests, so that hundreds of them fit into one process.

use std::{fmt::Write, io, net::SocketAddr, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    HeaderValue, StatusCode,
    server::{Reply, Request, ServerSettings, StopSignals, bind, serve},
};
use tables::TablesText;

/// The port of all light backend servers, which have different IP addresses.
const BACKEND_PORT: u16 = 19_800;

/// The classes in the tables, one per priority tier.
const CLASSES: [&str; 6] = ["reply", "chat", "search", "tag", "summary", "draft"];

const FAILURE_DOMAINS: usize = 3;
const JSON: &str = "application/json";

/// The size of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteSize {
    /// Replicas in the pool.
    pub replicas: usize,
    /// Workspaces, each with one token.
    pub workspaces: usize,
}

/// The tables of a site: six classes that share one pool.
pub fn tables_text(size: SiteSize) -> TablesText {
    let servers: Vec<String> = (0..size.replicas)
        .map(|idx| format!("{}@fd-{}", backend_addr(idx), idx % FAILURE_DOMAINS + 1))
        .collect();
    let pools =
        format!("[model]\nkind = engine\nmodel = small\nservers = {}\n", servers.join(", "));
    let mut routes = String::new();
    for (tier, class) in CLASSES.iter().enumerate() {
        let deadline_ms = 5_000 * (tier + 1);
        write!(
            routes,
            "[{class}]\npath = /v1/chat/completions\npriority = {tier}\npool = model\n\
             idempotent = yes\ndeadline_ms = {deadline_ms}\nshare_permille = 100\n\n"
        )
        .expect("writing to a string does not fail");
    }
    TablesText { routes, pools }
}

/// The file of workspaces of a site.
pub fn workspaces_text(size: SiteSize) -> String {
    (0..size.workspaces).map(|idx| format!("[workspace-{idx}]\ntoken = token-{idx}\n\n")).collect()
}

/// Serves `count` light backend servers until the runtime ends.
///
/// # Errors
///
/// I/O errors of binding, such as an address in use.
pub fn serve_backends(count: usize) -> io::Result<()> {
    for idx in 0..count {
        let listener = bind(backend_addr(idx))?;
        let (settings, stop) = (ServerSettings::default(), StopSignals::default());
        monoio::spawn(serve(listener, settings, stop, Rc::new(handle)));
    }
    Ok(())
}

/// The whole range 127.0.0.0/8 is loopback, so each backend server has its own address.
fn backend_addr(idx: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (idx >> 8) as u8, idx as u8], BACKEND_PORT))
}

fn handle(request: Request) -> LocalBoxFuture<'static, Reply> {
    let reply = match request.uri.path() {
        "/healthz" => json(r#"{"status":"ok"}"#),
        "/v1/load" => json(
            r#"{"running":4,"waiting":0,"kv_used_permille":300,"step_us":30000,"batch_max":64,"age_ms":100,"incarnation":1}"#,
        ),
        "/v1/cache/events" => json(r#"{"events":[],"next":0,"gap":false}"#),
        _ => refusal(&request),
    };
    futures::future::ready(reply).boxed_local()
}

fn json(body: &'static str) -> Reply {
    Reply::typed(StatusCode::OK, JSON, body.into())
}

fn refusal(request: &Request) -> Reply {
    let body = r#"{"error":{"code":"light","message":"this backend server does no work"}}"#;
    let mut reply = Reply::typed(StatusCode::SERVICE_UNAVAILABLE, JSON, body.into());
    reply.headers.insert("x-not-started", HeaderValue::from_static("1"));
    if let Some(id) = request.headers.get("x-request-id") {
        reply.headers.insert("x-request-id", id.clone());
    }
    reply
}
