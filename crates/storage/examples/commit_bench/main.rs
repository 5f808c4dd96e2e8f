//! Measures commit throughput and latency of three members in three threads with real syncs, the
//! time of recovery, and the sizes of messages.
//!
//! Run it with `cargo run --release -p storage --example commit_bench`.

mod member;
mod recovery;

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    time::{Duration, Instant},
};

use consensus::{Body, DiskId, Entry, LogIndex, Message, NodeId, Payload, Peer, Term};
use hdrhistogram::Histogram;
use storage::CommitPhases;

use member::{Event, Member, Report};

const COMMAND_BYTES: usize = 256;
const RUN_TIME: Duration = Duration::from_secs(4);
/// How many commands are in flight at a time, one run for each.
const WINDOWS: [usize; 4] = [1, 8, 64, 512];

fn main() {
    print_message_sizes();
    for phases in [CommitPhases::One, CommitPhases::Two] {
        for window in WINDOWS {
            measure_commits(phases, window);
        }
    }
    recovery::measure();
}

/// Keeps `window` commands in flight and prints throughput and latency.
fn measure_commits(phases: CommitPhases, window: usize) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (report_sender, reports) = channel();
    let (inboxes, receivers): (Vec<_>, Vec<_>) = (0..3).map(|_| channel()).unzip();
    let members = Member::create_all(folder.path(), phases, &inboxes, &report_sender);
    let threads: Vec<_> = members
        .into_iter()
        .zip(receivers)
        .map(|(member, inbox): (Member, Receiver<Event>)| {
            std::thread::spawn(move || member.run(&inbox))
        })
        .collect();
    let leader = wait_for_leader(&reports);
    let results = run_load(&inboxes[leader], &reports, window);
    inboxes.iter().for_each(|it| it.send(Event::Stop).expect("the members are running"));
    let writes: u64 = threads.into_iter().map(|it| it.join().expect("the members stop")).sum();
    let seconds = results.time.as_secs_f64();
    println!(
        "phases={phases:?} window={window} commits_per_s={:.0} p50_us={} p99_us={} max_us={} \
         commits_per_write={:.1}",
        results.commits as f64 / seconds,
        results.latency_us.value_at_quantile(0.5),
        results.latency_us.value_at_quantile(0.99),
        results.latency_us.max(),
        results.commits as f64 * 3.0 / writes as f64,
    );
}

/// The result of one run.
struct Results {
    commits: u64,
    time: Duration,
    latency_us: Histogram<u64>,
}

fn wait_for_leader(reports: &Receiver<Report>) -> usize {
    loop {
        if let Report::Leads(id) = reports.recv().expect("the members are running") {
            return id;
        }
    }
}

/// Proposes a new command for each one that is committed or refused, until the run time is over.
fn run_load(leader: &Sender<Event>, reports: &Receiver<Report>, window: usize) -> Results {
    let latency_us = Histogram::new(3).expect("three significant digits are valid");
    let mut results = Results { commits: 0, time: Duration::ZERO, latency_us };
    let start = Instant::now();
    let propose = || leader.send(Event::Propose(Instant::now())).expect("the leader is running");
    (0..window).for_each(|_| propose());
    while start.elapsed() < RUN_TIME {
        match reports.recv().expect("the members are running") {
            Report::Committed(sent_at) => {
                results.commits += 1;
                let latency_us = sent_at.elapsed().as_micros() as u64;
                results.latency_us.record(latency_us).expect("the histogram resizes itself");
                propose();
            }
            Report::Refused => propose(),
            Report::Leads(_) => {}
        }
    }
    results.time = start.elapsed();
    results
}

fn print_message_sizes() {
    let peer = |id| Peer { node: NodeId(id), disk: DiskId(u64::MAX - id) };
    let message = |body| Message { from: peer(1), to: peer(2), term: Term(100), body };
    let len = |body| consensus::encode(&message(body)).expect("messages can be encoded").len();
    let index = LogIndex(100_000);
    let payload = Payload::Command(vec![7; COMMAND_BYTES]);
    let entry = Entry { index, term: Term(100), payload };
    let append = |count| Body::Append {
        prev_index: index,
        prev_term: Term(100),
        entries: vec![entry.clone(); count],
        commit: index,
        round: 100_000,
    };
    println!("heartbeat_bytes={}", len(append(0)));
    println!("answer_bytes={}", len(Body::Appended { matched: index, round: 100_000 }));
    println!("append_1_bytes={} append_64_bytes={}", len(append(1)), len(append(64)));
}
