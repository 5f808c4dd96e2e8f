//! Measures commits, recovery and message sizes with real syncs: three members in three threads.
//!
//! Run it by `cargo run --release -p storage --example commit_bench`.

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

/// Keeps `window` commands under way and prints rate and latency.
fn measure_commits(phases: CommitPhases, window: usize) {
    let folder = tempfile::tempdir().expect("a folder for the disks");
    let (reports_in, reports) = channel();
    let (inboxes, receivers): (Vec<_>, Vec<_>) = (0..3).map(|_| channel()).unzip();
    let members = Member::make_all(folder.path(), phases, &inboxes, &reports_in);
    let threads: Vec<_> = members
        .into_iter()
        .zip(receivers)
        .map(|(member, inbox): (Member, Receiver<Event>)| {
            std::thread::spawn(move || member.run(&inbox))
        })
        .collect();
    let leader = wait_for_leader(&reports);
    let load = drive(&inboxes[leader], &reports, window);
    inboxes.iter().for_each(|it| it.send(Event::Stop).expect("members run"));
    let writes: u64 = threads.into_iter().map(|it| it.join().expect("members end")).sum();
    let seconds = load.time.as_secs_f64();
    println!(
        "phases={phases:?} window={window} commits_per_s={:.0} p50_us={} p99_us={} max_us={} \
         commits_per_write={:.1}",
        load.commits as f64 / seconds,
        load.latency_us.value_at_quantile(0.5),
        load.latency_us.value_at_quantile(0.99),
        load.latency_us.max(),
        load.commits as f64 * 3.0 / writes as f64,
    );
}

struct Load {
    commits: u64,
    time: Duration,
    latency_us: Histogram<u64>,
}

fn wait_for_leader(reports: &Receiver<Report>) -> usize {
    loop {
        if let Report::Leads(id) = reports.recv().expect("members run") {
            return id;
        }
    }
}

fn drive(leader: &Sender<Event>, reports: &Receiver<Report>, window: usize) -> Load {
    let latency_us = Histogram::new(3).expect("three digits are allowed");
    let mut load = Load { commits: 0, time: Duration::ZERO, latency_us };
    let start = Instant::now();
    let propose = || leader.send(Event::Propose(Instant::now())).expect("the leader runs");
    (0..window).for_each(|_| propose());
    while start.elapsed() < RUN_TIME {
        match reports.recv().expect("members run") {
            Report::Committed(sent_at) => {
                load.commits += 1;
                let latency_us = sent_at.elapsed().as_micros() as u64;
                load.latency_us.record(latency_us).expect("the histogram grows");
                propose();
            }
            Report::Refused => propose(),
            Report::Leads(_) => {}
        }
    }
    load.time = start.elapsed();
    load
}

fn print_message_sizes() {
    let peer = |id| Peer { node: NodeId(id), disk: DiskId(u64::MAX - id) };
    let message = |body| Message { from: peer(1), to: peer(2), term: Term(100), body };
    let len = |body| consensus::encode(&message(body)).expect("messages can be written").len();
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
