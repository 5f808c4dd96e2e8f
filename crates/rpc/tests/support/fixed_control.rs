//! A control VM with fixed answers, and waiting for a link to it.
#![allow(dead_code)]

use std::{rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use monoio::{LegacyDriver, RuntimeBuilder};
use rpc::{
    ControlClient, ControlHandler, DocumentUpdate, Link, PeerHandler, ServerList, SubmitResult,
    TablesUpdate,
};

pub(crate) struct FixedHandler;

impl ControlHandler for FixedHandler {
    fn fetch_servers(&self, _: u64, _: Duration) -> LocalBoxFuture<'static, ServerList> {
        async { ServerList::default() }.boxed_local()
    }

    fn fetch_document(&self, _: u64, _: Duration) -> LocalBoxFuture<'static, DocumentUpdate> {
        async { DocumentUpdate { controls: Vec::new(), has_leader: true, document: None } }
            .boxed_local()
    }

    fn fetch_tables(
        &self,
        held: u64,
        _: u64,
        _: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate> {
        let snapshot = TablesUpdate::Snapshot {
            revision: held + 1,
            routes: "[chat]".to_owned(),
            pools: String::new(),
            confirmed: true,
        };
        async { snapshot }.boxed_local()
    }

    fn submit(&self, _: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        async { SubmitResult::Response(command) }.boxed_local()
    }

    fn status(&self) -> String {
        "{}".to_owned()
    }

    fn exchange(&self, summary: Vec<u8>) -> Vec<u8> {
        summary
    }

    fn peer(&self, _: &str) -> Option<Rc<dyn PeerHandler>> {
        None
    }
}

pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(future)
}

pub(crate) async fn wait_until_connected(link: &Link) -> ControlClient {
    loop {
        if let Ok(client) = link.client() {
            return client;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}
