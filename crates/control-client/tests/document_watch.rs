//! Guards against a router that stops following the operator's document, or accepts an older
//! version, when control VMs lag, do not respond or lose their leader.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::SystemClock;
use control_client::{DocumentWatch, WatchSettings};
use control_state::Document;
use futures::{
    FutureExt, StreamExt,
    channel::mpsc::UnboundedReceiver,
    future::{LocalBoxFuture, pending},
};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};
use rpc::{
    ByteCounters, ControlHandler, DocumentUpdate, FetchedDocument, Link, LinkSettings, PeerHandler,
    ServerList, SubmitResult, TablesUpdate,
};

/// How a fake control VM behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// It knows a leader and confirms the document.
    HasLeader,
    /// It has lost its leader and confirms nothing.
    NoLeader,
    /// It accepts calls and never answers.
    Unresponsive,
}

#[derive(Clone)]
struct FakeControl {
    addr: SocketAddr,
    mode: Rc<Cell<Mode>>,
    version: Rc<Cell<u64>>,
    controls: Rc<RefCell<Vec<SocketAddr>>>,
}

impl FakeControl {
    fn start(mode: Mode, version: u64) -> FakeControl {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let control = FakeControl {
            addr,
            mode: Rc::new(Cell::new(mode)),
            version: Rc::new(Cell::new(version)),
            controls: Rc::default(),
        };
        let handler = Rc::new(control.clone());
        monoio::spawn(rpc::serve(Default::default(), listener, handler, ByteCounters::default()));
        control
    }
}

impl ControlHandler for FakeControl {
    fn fetch_servers(&self, _: u64, _: Duration) -> LocalBoxFuture<'static, ServerList> {
        async { ServerList::default() }.boxed_local()
    }

    fn fetch_document(
        &self,
        held: u64,
        _wait: Duration,
    ) -> LocalBoxFuture<'static, DocumentUpdate> {
        let control = self.clone();
        async move {
            if control.mode.get() == Mode::Unresponsive {
                pending::<()>().await;
            }
            // The fake does not long-poll; a pause prevents a busy loop.
            monoio::time::sleep(Duration::from_millis(1)).await;
            let is_led = control.mode.get() == Mode::HasLeader;
            let version = control.version.get();
            let fetched = FetchedDocument {
                version,
                text: version.to_string().into_bytes(),
                confirmed: is_led && held == 0,
            };
            DocumentUpdate {
                controls: control.controls.borrow().clone(),
                has_leader: is_led,
                document: (held == 0 || version > held).then_some(fetched),
            }
        }
        .boxed_local()
    }

    fn fetch_tables(&self, _: u64, _: u64, _: Duration) -> LocalBoxFuture<'static, TablesUpdate> {
        async { TablesUpdate::Unchanged }.boxed_local()
    }

    fn submit(&self, _: String, _: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        async { SubmitResult::Refused(String::new()) }.boxed_local()
    }

    fn status(&self) -> String {
        String::new()
    }

    fn exchange(&self, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    fn peer(&self, _: &str) -> Option<Rc<dyn PeerHandler>> {
        None
    }
}

fn run(test: impl Future<Output = ()>) {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(test);
}

fn follow(controls: &[&FakeControl], timeout_ms: u64) -> UnboundedReceiver<Document> {
    let addrs = controls.iter().map(|it| it.addr).collect();
    let link = Link::start(LinkSettings { addrs, ..LinkSettings::default() });
    let settings = WatchSettings {
        confirm_timeout_ms: timeout_ms,
        poll_ms: 10,
        retry_pause_ms: 1,
        ..WatchSettings::default()
    };
    DocumentWatch::start(link, settings, Rc::new(SystemClock), |_| {})
}

#[test]
fn newer_versions() {
    run(async {
        let control = FakeControl::start(Mode::HasLeader, 5);
        let mut documents = follow(&[&control], 60_000);
        assert_eq!(documents.next().await.map(|it| it.version), Some(5));
        // An older version, as a lagging VM may return it, is ignored.
        control.version.set(3);
        control.version.set(9);
        assert_eq!(documents.next().await.map(|it| it.version), Some(9));
    });
}

#[test]
fn leaderless_control() {
    run(async {
        let (first, second) =
            (FakeControl::start(Mode::HasLeader, 5), FakeControl::start(Mode::HasLeader, 5));
        let mut documents = follow(&[&first, &second], 60_000);
        assert_eq!(documents.next().await.map(|it| it.version), Some(5));
        first.mode.set(Mode::NoLeader);
        second.version.set(8);
        assert_eq!(documents.next().await.map(|it| it.version), Some(8));
    });
}

#[test]
fn unresponsive_control() {
    run(async {
        let (first, second) =
            (FakeControl::start(Mode::HasLeader, 5), FakeControl::start(Mode::HasLeader, 5));
        let mut documents = follow(&[&first, &second], 60_000);
        assert_eq!(documents.next().await.map(|it| it.version), Some(5));
        first.mode.set(Mode::Unresponsive);
        second.version.set(8);
        assert_eq!(documents.next().await.map(|it| it.version), Some(8));
    });
}

#[test]
fn learned_members() {
    run(async {
        let (seed, member) =
            (FakeControl::start(Mode::HasLeader, 5), FakeControl::start(Mode::HasLeader, 5));
        seed.controls.borrow_mut().push(member.addr);
        let mut documents = follow(&[&seed], 60_000);
        assert_eq!(documents.next().await.map(|it| it.version), Some(5));
        // The seed stops responding; the watch switches to the member that the seed listed.
        seed.mode.set(Mode::Unresponsive);
        member.version.set(8);
        assert_eq!(documents.next().await.map(|it| it.version), Some(8));
    });
}

#[test]
fn partitioned_start() {
    run(async {
        let control = FakeControl::start(Mode::NoLeader, 5);
        let mut documents = follow(&[&control], 0);
        assert_eq!(documents.next().await.map(|it| it.version), Some(5));
        // Once there is a leader again, the confirmed version follows.
        control.version.set(6);
        control.mode.set(Mode::HasLeader);
        assert_eq!(documents.next().await.map(|it| it.version), Some(6));
    });
}
