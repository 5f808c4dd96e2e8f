//! Followers take changes over from a control VM and note when.

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
    capacity::{Accepted, Changer, FollowerSettings, Followers, SiteSize, tables_text},
    loopback::LoopbackAddr,
};
use rpc::{
    ByteCounters, ControlHandler, DocumentUpdate, PeerHandler, ServerList, SubmitResult,
    TablesUpdate, serve,
};
use support::block_on;
use tables::Revision;

const FOLLOWERS: usize = 5;
const TOKEN: &str = "operator";
const LONG: Duration = Duration::from_secs(20);

/// A control VM with one table that changes only in its revision.
struct FakeControl {
    revision: Cell<u64>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    hub: RefCell<Hub>,
    exchanges: Cell<usize>,
}

impl FakeControl {
    fn start() -> (Rc<FakeControl>, LoopbackAddr) {
        let fake = Rc::new(FakeControl {
            revision: Cell::new(1),
            waiting: RefCell::default(),
            hub: RefCell::new(Hub::new(HubSettings { epoch: 1, ..HubSettings::default() })),
            exchanges: Cell::new(0),
        });
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        monoio::spawn(serve(listener, Rc::clone(&fake) as Rc<_>, ByteCounters::default()));
        (fake, LoopbackAddr::checked(addr).expect("a loopback port"))
    }

    fn raise(&self) -> Accepted {
        self.revision.set(self.revision.get() + 1);
        let accepted = Accepted { revision: Revision(self.revision.get()), at: Instant::now() };
        for waiter in self.waiting.take() {
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
        let revision = self.raise().revision;
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
        self.waiting.borrow_mut().push(sender);
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
        let summary = decode_summary(&summary).expect("followers speak the hub's protocol");
        self.exchanges.set(self.exchanges.get() + 1);
        encode_digest(&self.hub.borrow_mut().exchange(SystemClock.now(), summary))
    }

    fn peer(&self, _token: &str) -> Option<Rc<dyn PeerHandler>> {
        None
    }
}

fn settings(addr: LoopbackAddr) -> FollowerSettings {
    FollowerSettings {
        controls: vec![addr],
        followers: FOLLOWERS,
        servers_each: 3,
        exchange_interval_ms: 10,
    }
}

#[test]
fn changes_noted() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let followers = Followers::start(&settings(addr), Rc::new(SystemClock)).await;
        assert_eq!(followers.reach(Revision(1), LONG).await, FOLLOWERS);

        let change = fake.raise();
        assert_eq!(followers.reach(change.revision, LONG).await, FOLLOWERS);
        assert_eq!(followers.in_force_times(change).len(), FOLLOWERS);

        let unseen = Accepted { revision: Revision(99), at: change.at };
        assert!(followers.in_force_times(unseen).is_empty());
        assert!(followers.wire_bytes() > 0);
    });
}

async fn changer(addr: LoopbackAddr, token: &str) -> Changer {
    let size = SiteSize { replicas: 2, workspaces: 0 };
    let changer = Changer::connect(addr, token.to_owned(), size, Rc::new(SystemClock)).await;
    changer.expect("the fake listens")
}

#[test]
fn changes_accepted() {
    block_on(async {
        let (fake, addr) = FakeControl::start();
        let mut changer = changer(addr, TOKEN).await;
        let first = changer.change().await.expect("it starts from revision 1");
        let second = changer.change().await.expect("nobody else changes tables");
        assert_eq!((first.revision, second.revision), (Revision(2), Revision(3)));

        fake.raise();
        let third = changer.change().await.expect("a conflict is overcome");
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
        let followers = Followers::start(&settings(addr), Rc::new(SystemClock)).await;
        while fake.exchanges.get() < 3 * FOLLOWERS {
            followers.reach(Revision(99), Duration::from_millis(10)).await;
        }
        assert_eq!(fake.hub.borrow().routers().count(), FOLLOWERS);
        assert_eq!(fake.hub.borrow().servers().count(), 3 * FOLLOWERS);
    });
}

#[test]
fn absent_control_waited_for() {
    block_on(async {
        let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = unused.local_addr().expect("a bound listener");
        drop(unused);
        let addr = LoopbackAddr::checked(addr).expect("a loopback port");
        let followers = Followers::start(&settings(addr), Rc::new(SystemClock)).await;
        assert_eq!(followers.reach(Revision(1), Duration::from_millis(20)).await, 0);
    });
}
