//! Which orders are sent, and when, as their results and the list say.

use std::time::{Duration, Instant};

use duties::{CallResult, ServerKind};
use scaling::{DomainServers, DueOrder, OrderBook, Target};

const BOOT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(250);

fn target(domain: &str, firm: u32, spot: u32) -> Target {
    Target { failure_domain: domain.to_owned(), firm: Some(firm), spot }
}

/// A book for one failure domain that lists what is wanted.
struct Book {
    book: OrderBook,
    now: Instant,
    listed: DomainServers,
}

impl Book {
    fn new() -> Book {
        let listed = DomainServers { firm: 100, spot: 100, spot_leaving: 0 };
        Book { book: OrderBook::default(), now: Instant::now(), listed }
    }

    fn set(&mut self, firm: u32, spot: u32) {
        self.book.set_target(self.now, "p", &target("a", firm, spot), &self.listed, BOOT);
    }

    /// Lets a step of time pass; returns the orders that are due.
    fn step(&mut self) -> Vec<DueOrder> {
        self.now += STEP;
        self.book.take_due(self.now)
    }

    /// Lets a time pass, in which each order ends with `result`; returns the kinds and numbers.
    fn run(&mut self, time: Duration, result: Option<CallResult>) -> Vec<(ServerKind, u32)> {
        let end = self.now + time;
        let mut sent = Vec::new();
        while self.now < end {
            for due in self.step() {
                sent.push((due.order.kind, due.order.count));
                self.book.ended(self.now, &due.order, result);
            }
        }
        sent
    }
}

/// Guards against orders that are repeated, and firm servers that are given up before spot servers are ordered.
#[test]
fn accepted_once() {
    let mut book = Book::new();
    book.set(0, 5);
    let sent = book.run(Duration::from_secs(5), Some(CallResult::Accepted));
    assert_eq!(sent, [(ServerKind::Spot, 5), (ServerKind::Firm, 0)]);
    book.set(0, 7);
    let sent = book.run(Duration::from_secs(5), Some(CallResult::Accepted));
    assert_eq!(sent, [(ServerKind::Spot, 7)]);
}

/// Guards against refused spot servers that are never asked for again, or much too often, and that hold firm
/// ones back.
#[test]
fn refused_again() {
    let mut book = Book::new();
    book.set(3, 5);
    let sent = book.run(Duration::from_secs(5), Some(CallResult::Conflict));
    let spot = sent.iter().filter(|it| it.0 == ServerKind::Spot).count();
    assert!((4..=6).contains(&spot), "{sent:?}");
    assert!(sent.contains(&(ServerKind::Firm, 3)), "{sent:?}");
}

/// An order without an answer may be carried out later. Guards against its number staying in force when the
/// target has changed back.
#[test]
fn unanswered_replaced() {
    let mut book = Book::new();
    book.set(0, 5);
    book.run(Duration::from_secs(1), Some(CallResult::Accepted));
    book.set(0, 9);
    book.run(Duration::from_millis(250), Some(CallResult::Unanswered));
    book.set(0, 5);
    let sent = book.run(Duration::from_secs(2), Some(CallResult::Accepted));
    assert_eq!(sent, [(ServerKind::Spot, 5)]);
}

/// Guards against a platform without answers that gets every order again and again.
#[test]
fn silent_platform() {
    let mut book = Book::new();
    book.set(0, 5);
    for result in [CallResult::Unanswered, CallResult::Busy] {
        let sent = book.run(Duration::from_secs(20), Some(result));
        assert!((6..=24).contains(&sent.len()), "{sent:?}");
    }
}

/// Guards against reclaimed servers that the platform takes for ordered.
#[test]
fn sent_again_when_left() {
    let mut book = Book::new();
    book.set(0, 5);
    book.run(Duration::from_secs(1), Some(CallResult::Accepted));
    for leaving in [5, 0] {
        book.listed = DomainServers { spot_leaving: leaving, ..DomainServers::default() };
        book.set(0, 5);
        let sent = book.run(Duration::from_secs(1), Some(CallResult::Accepted));
        assert_eq!(sent, [(ServerKind::Spot, 5)]);
    }
}

/// Guards against two orders at a time for the same servers, and the late result of one from before another VM
/// led.
#[test]
fn one_at_a_time() {
    let mut book = Book::new();
    book.set(0, 5);
    let first = book.step();
    assert_eq!(first.len(), 1);
    book.set(0, 6);
    assert_eq!(book.step(), []);
    book.book.clear();
    book.set(0, 6);
    assert_eq!(book.step(), []);
    book.book.ended(book.now, &first[0].order, Some(CallResult::Accepted));
    assert_eq!(book.book.accepted("p", "a", ServerKind::Spot), None);
    assert_eq!(book.step()[0].order.count, 6);
}

/// Guards against more orders in a second than the platform allows all duties.
#[test]
fn rate_kept() {
    let (mut book, mut now) = (OrderBook::default(), Instant::now());
    let listed = DomainServers::default();
    let mut sent = 0;
    for seconds in 1..=4 {
        for _ in 0..4 {
            now += STEP;
            for domain in 0..30 {
                book.set_target(
                    now,
                    "p",
                    &target(&format!("d{domain}"), 1, seconds),
                    &listed,
                    BOOT,
                );
            }
            for due in book.take_due(now) {
                sent += 1;
                book.ended(now, &due.order, Some(CallResult::Accepted));
            }
        }
        assert!(sent <= 10 * seconds, "{sent} in {seconds} s");
    }
    assert_eq!(sent, 40);
}
