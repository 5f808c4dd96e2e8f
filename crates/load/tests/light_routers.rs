//! Light routers apply table changes from a control VM and record when.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use clock::{Clock, SystemClock};
use control_state::{Command, Response, TablesAnswer, decode_command, encode_response};
use dissemination::{Hub, HubSettings, decode_summary, encode_digest};
use futures::{FutureExt, channel::oneshot, future::LocalBoxFuture};
use httpio::server::bind;
use load::{
    capacity::{Changer, LightRouterSettings, LightRouters, SiteSize, TimedRevision, tables_text},
    loopback::LoopbackAddr,
};
use rpc::{
    ByteCounters, ControlHandler, DocumentUpdate, PeerHandler, ServerList, SubmitResult,
    TablesUpdate, serve,
};
use support::block_on;
use tables::Revision;

const ROUTERS: usize = 5;
const TOKEN: &str = "operator";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A control VM whose tables change only in their revision.
struct FakeControl {
    revision: Cell<u64>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    hub: RefCell<Hub>,
    exchanges: Cell<usize>,
}

impl FakeControl {
    fn start() -> (Rc<FakeControl>, LoopbackAddr) {
        let fake = Rc::new(FakeControl {
            revision: Cell::new(1),
            waiters: RefCell::default(),
            hub: RefCell::new(Hub::new(HubSettings { epoch: 1, ..HubSettings::default() })),
            exchanges: Cell::new(0),
        });
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        monoio::spawn(serve(
            Default::default(),
            listener,
            Rc::clone(&fake) as Rc<_>,
            ByteCounters::default(),
        ));
        (fake, LoopbackAddr::checked(addr).expect("a loopback port"))
    }

    fn publish_revision(&self) -> TimedRevision {
        self.revision.set(self.revision.get() + 1);
        let accepted =
            TimedRevision { revision: Revision(self.revision.get()), at: Instant::now() };
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
        accepted
    }

    fn propose(&self, command: &[u8]) -> Vec<u8> {
        let Ok(Command::ProposeTables(proposal)) = decode_command(command) else {
            return encode_response(&Response::Unreadable);
        };
        tables::check(proposal.base, &proposal.text).expect("valid tables");
        let current = Revision(self.revision.get());
        if proposal.base != current {
            return encode_response(&TablesAnswer::Conflict { current }.into());
        }
        let revision = self.publish_revision().revision;
        encode_response(&TablesAnswer::Accepted { revision }.into())
    }
}

fn snapshot(revision: u64) -> TablesUpdate {
    let text = tables_text(SiteSize { replicas: 2, workspaces: 1 });
    TablesUpdate::Snapshot { revision, routes: text.routes, pools: text.pools, confirmed: true }
}

impl ControlHandler for FakeControl {
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
        _digest: u64,
        _wait: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate> {
        let revision = self.revision.get();
        if held < revision {
            return futures::future::ready(snapshot(revision)).boxed_local();
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push(sender);
        async move {
            let _ = receiver.await;
            TablesUpdate::Unchanged
        }
        .boxed_local()
    }

    fn submit(&self, token: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        let result = match token.as_str() {
            TOKEN => SubmitResult::Response(self.propose(&command)),
            _ => SubmitResult::Refused("wrong token".to_owned()),
        };
        futures::future::ready(result).boxed_local()
    }

    fn status(&self) -> String {
        String::new()
    }

    fn exchange(&self, summary: Vec<u8>) -> Vec<u8> {
        let summary = decode_summary(&summary).expect("a valid summary");
        self.exchanges.set(self.exchanges.get() + 1);
        encode_digest(&self.hub.borrow_mut().exchange(SystemClock.now(), summary))
    }

    fn peer(&self, _token: &str) -> Option<Rc<dyn PeerHandler>> {
        None
    }
}

fn settings(addr: LoopbackAddr) -> LightRouterSettings {
    LightRouterSettings {
        controls: vec![addr],
        routers: ROUTERS,
        servers_per_router: 3,
        exchange_interval_ms: 10,
    }
}

#[test]
fn change_times_recorded() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let routers = LightRouters::start(&settings(addr), Rc::new(SystemClock)).await;
        assert_eq!(routers.wait_for_revision(Revision(1), WAIT_TIMEOUT).await, ROUTERS);

        let change = fake.publish_revision();
        assert_eq!(routers.wait_for_revision(change.revision, WAIT_TIMEOUT).await, ROUTERS);
        assert_eq!(routers.apply_times(change).len(), ROUTERS);

        let future_change = TimedRevision { revision: Revision(99), at: change.at };
        assert!(routers.apply_times(future_change).is_empty());
        assert!(routers.wire_bytes() > 0);
    });
}

async fn changer(addr: LoopbackAddr, token: &str) -> Changer {
    let size = SiteSize { replicas: 2, workspaces: 0 };
    let changer = Changer::connect(addr, token.to_owned(), size, Rc::new(SystemClock)).await;
    changer.expect("a connection to the fake")
}

#[test]
fn changes_accepted() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let mut changer = changer(addr, TOKEN).await;
        let first = changer.change().await.expect("it starts from revision 1");
        let second = changer.change().await.expect("no concurrent change");
        assert_eq!((first.revision, second.revision), (Revision(2), Revision(3)));

        fake.publish_revision();
        let third = changer.change().await.expect("a retry after the conflict");
        assert_eq!(third.revision, Revision(5));
    });
}

#[test]
fn refused_change_reported() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let fault = changer(addr, "wrong").await.change().await.expect_err("the token is wrong");
        assert!(fault.to_string().contains("wrong token"), "{fault}");
        assert_eq!(fake.revision.get(), 1);
    });
}

#[test]
fn summaries_exchanged() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let routers = LightRouters::start(&settings(addr), Rc::new(SystemClock)).await;
        while fake.exchanges.get() < 3 * ROUTERS {
            routers.wait_for_revision(Revision(99), Duration::from_millis(10)).await;
        }
        assert_eq!(fake.hub.borrow().routers().count(), ROUTERS);
        assert_eq!(fake.hub.borrow().servers().count(), 3 * ROUTERS);
    });
}

#[test]
fn unreachable_control_times_out() {
    block_on(async {
        let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = unused.local_addr().expect("a bound listener");
        drop(unused);
        let addr = LoopbackAddr::checked(addr).expect("a loopback port");
        let routers = LightRouters::start(&settings(addr), Rc::new(SystemClock)).await;
        assert_eq!(routers.wait_for_revision(Revision(1), Duration::from_millis(20)).await, 0);
    });
}
