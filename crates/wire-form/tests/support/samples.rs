//! One value of each form, with every field and variant in use.
//!
//! The builds that wrote the bytes in `landed` had the same values.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use consensus::{
    Body, Campaign, DiskId, Entry, LogIndex, Members, Message, NodeId, Payload, Snapshot, Term,
};
use control::Envelope;
use control_state::{
    ChangeId, ClaimAnswer, ClaimId, ClaimOrder, Command, ControlNode, Document, DocumentAnswer,
    FencingToken, OrderKey, Plan, PlanAnswer, PlannedServer, ProposeTables, Response, RouterId,
    SettleAnswer, State, StoredAnswer as LoggedAnswer, TablesAnswer,
};
use directory::{ListedVm, VmState};
use dissemination::{
    BegunStreams, CrashRows, Demand, Digest, DomainHash, HubNews, HubPermitRequest, Load, PartRow,
    Peer as RouterPeer, PoolHash, QuarantineRow, RouterIdx, Sender, ServerIdx, ServerLoad,
    ServerObservation, ServerRef, ServerRow, ServerState, ServerWork, Slots, StreamHash, Summary,
    Version,
};
use policy::{
    CrashSite, LimitEntry, PartEntry, PendingWork, PermitDemand, PermitGrant, PermitRequest,
    QuarantineEntry, RequestRate, ServerHash, VersionHash,
};
use router::order_ledger::StoredAnswer;
use tables::{Delta, Revision, RowChange, TableKind, TablesText};

fn addr(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 8080))
}

fn pool() -> PoolHash {
    PoolHash(0xfeed_f00d)
}

fn load() -> Load {
    Load { running: 3, waiting: 300, kv_used_64ths: 40, step_100us: 260 }
}

fn crash_site() -> CrashSite {
    CrashSite { server_hash: 0x1122_3344_5566_7788, incarnation: 1_700_000_000_000, returns: 2 }
}

fn quarantine_row() -> QuarantineRow {
    let entry = QuarantineEntry {
        request_hash: 0xdead_beef_0000_0001,
        crashes: vec![crash_site()],
        completed_ms_ago: Some(1_500),
        is_confirmed: true,
        ttl_ms: 600_000,
    };
    QuarantineRow { pool: pool(), entry }
}

fn part_row() -> PartRow {
    let entry = PartEntry {
        part: 0x5c1e_07a2,
        depth: 1,
        crashes: vec![crash_site()],
        answered_ms_ago: Some(900),
        refused_ms_ago: Some(70),
    };
    PartRow { pool: pool(), entry }
}

fn limit_entry() -> LimitEntry {
    LimitEntry { server: ServerHash(77), rate: rate(), age_ms: 250 }
}

fn rate() -> Option<RequestRate> {
    RequestRate::from_per_second(2.5)
}

fn demand() -> PermitDemand {
    PermitDemand { waiting: 4, expected: 9 }
}

fn work() -> PendingWork {
    PendingWork { requests: 5, unread_tokens: 70_000 }
}

fn begun_streams() -> BegunStreams {
    BegunStreams { version: VersionHash(0xabcd), streams: vec![StreamHash::of("9c41d07be2a35f68")] }
}

fn router_peer() -> RouterPeer {
    RouterPeer { addr: addr(9), domain: DomainHash(0x0102_0304) }
}

pub(crate) fn summaries() -> Vec<(&'static str, Summary)> {
    let server = ServerIdx(7);
    let observation = ServerObservation {
        addr: addr(1),
        state: ServerState::Leaving,
        incarnation: 12,
        pool: pool(),
        slots: 64,
    };
    let full = Summary {
        from: Sender::Name("router-a".to_owned()),
        epoch: 9,
        held: Version(1_000),
        loads: vec![ServerLoad { server: ServerRef::Idx(server), load: load() }],
        observations: vec![observation],
        quarantine: vec![quarantine_row()],
        parts: vec![part_row()],
        demand: vec![Demand { pool: pool(), requests: 17, urgent: 2 }],
        held_slots: vec![Slots { server, count: 20 }],
        work: vec![ServerWork { server: ServerRef::Addr(addr(1)), work: work() }],
        limits: vec![limit_entry()],
        permit_requests: vec![PermitRequest { server: ServerHash(77), demand: demand() }],
        begun_streams: vec![begun_streams()],
        stream_lookups: vec![StreamHash::of("abc")],
        peer: Some(router_peer()),
        level: None,
        down: Vec::new(),
        pauses: Vec::new(),
        usage: None,
    };
    let brief = Summary {
        from: Sender::Idx(RouterIdx(3)),
        epoch: 1,
        held: Version(2),
        loads: Vec::new(),
        observations: Vec::new(),
        quarantine: Vec::new(),
        parts: Vec::new(),
        demand: Vec::new(),
        held_slots: Vec::new(),
        work: Vec::new(),
        limits: Vec::new(),
        permit_requests: Vec::new(),
        begun_streams: Vec::new(),
        stream_lookups: Vec::new(),
        peer: None,
        level: None,
        down: Vec::new(),
        pauses: Vec::new(),
        usage: None,
    };
    vec![("summary", full), ("summary-brief", brief)]
}

pub(crate) fn digests() -> Vec<(&'static str, Digest)> {
    let idx = ServerIdx(7);
    let row = ServerRow {
        idx,
        addr: addr(1),
        state: ServerState::Live,
        incarnation: 12,
        pool: pool(),
        slots: 64,
    };
    let full = Digest {
        epoch: 9,
        version: Version(1_001),
        recipient_idx: 3,
        routers: Some(vec![(3, "router-a".to_owned())]),
        peers: Some(vec![router_peer()]),
        servers: vec![row],
        loads: vec![ServerLoad { server: ServerRef::Idx(idx), load: load() }],
        quarantine: vec![quarantine_row()],
        parts: vec![part_row()],
        grants: vec![Slots { server: idx, count: 20 }],
        work: vec![ServerWork { server: ServerRef::Idx(idx), work: work() }],
        limits: vec![limit_entry()],
        permits: vec![PermitGrant { server: ServerHash(77), count: 3 }],
        found_streams: vec![begun_streams()],
        down: Vec::new(),
        pauses: Vec::new(),
        sole_versions: Vec::new(),
    };
    vec![("digest", full), ("digest-brief", Digest::default())]
}

pub(crate) fn envelopes() -> Vec<(String, Envelope)> {
    let log = bodies().into_iter().map(|(name, body)| {
        let message = Message { from: member(1), to: member(2), term: Term(4), body };
        (format!("log-{name}"), Envelope::Log(message))
    });
    let others = [
        ("hello", Envelope::Hello(member(1))),
        (
            "work",
            Envelope::Work {
                hub: 5,
                rows: vec![(addr(1), work())],
                begun_streams: vec![begun_streams()],
                down: Vec::new(),
            },
        ),
        (
            "news",
            Envelope::News(HubNews {
                crashes: CrashRows { requests: vec![quarantine_row()], parts: vec![part_row()] },
                limits: vec![limit_entry()],
            }),
        ),
        (
            "permit-requests",
            Envelope::PermitRequests {
                hub: 5,
                rows: vec![HubPermitRequest {
                    server: ServerHash(77),
                    rate: rate().expect("a rate"),
                    demand: demand(),
                }],
            },
        ),
        ("permits", Envelope::Permits(vec![PermitGrant { server: ServerHash(77), count: 3 }])),
        (
            "router-peers",
            Envelope::RouterPeers { hub: 5, peers: vec![router_peer()], pauses: Vec::new() },
        ),
    ];
    log.chain(others.map(|(name, it)| (name.to_owned(), it))).collect()
}

pub(crate) fn member(number: u64) -> consensus::Peer {
    consensus::Peer { node: NodeId(number), disk: DiskId(number << 32) }
}

fn members() -> Members {
    Members { voters: [member(1), member(2)].into(), learners: [member(3)].into() }
}

fn entries() -> Vec<Entry> {
    let payloads = [Payload::Empty, Payload::Command(vec![1, 2]), Payload::Members(members())];
    let entry = |(idx, payload)| Entry { index: LogIndex(idx), term: Term(4), payload };
    (8..).zip(payloads).map(entry).collect()
}

fn bodies() -> [(&'static str, Body); 9] {
    let (last_index, last_term) = (LogIndex(300), Term(3));
    let snapshot =
        Snapshot { index: LogIndex(290), term: Term(3), members: members(), data: vec![5; 3] };
    [
        ("pre-vote", Body::PreVote { last_index, last_term }),
        ("pre-vote-reply", Body::PreVoteReply { granted: true }),
        ("vote", Body::Vote { last_index, last_term, campaign: Campaign::Transfer }),
        ("vote-reply", Body::VoteReply { granted: false }),
        (
            "append",
            Body::Append {
                prev_index: LogIndex(7),
                prev_term: Term(3),
                entries: entries(),
                commit: LogIndex(6),
                round: 900,
            },
        ),
        ("appended", Body::Appended { matched: LogIndex(10), round: 900 }),
        ("append-refused", Body::AppendRefused { hint: LogIndex(2), round: 900 }),
        ("install", Body::Install { snapshot: Arc::new(snapshot), round: 901 }),
        ("take-over", Body::TakeOver),
    ]
}

fn order() -> OrderKey {
    OrderKey { workspace: "w".to_owned(), route: "r".to_owned(), key: "k-1".to_owned() }
}

fn plan() -> Plan {
    let server = PlannedServer {
        backend_server: "e-1".to_owned(),
        model: "m".to_owned(),
        version: "1".to_owned(),
        role: "decode".to_owned(),
    };
    Plan { servers: vec![server], weight_loads_per_minute: 6 }
}

fn tables_text() -> TablesText {
    TablesText {
        routes: "[chat]\npool = p\n".to_owned(),
        pools: "[p]\nservers = 10.0.0.1:1\n".to_owned(),
    }
}

pub(crate) fn commands() -> Vec<(&'static str, Command)> {
    let (claim, claimed) = (ClaimId(42), order());
    vec![
        (
            "propose-tables",
            Command::ProposeTables(ProposeTables {
                change: ChangeId("c-1".to_owned()),
                base: Revision(0),
                text: tables_text(),
            }),
        ),
        ("put-document", Command::PutDocument(Document { version: 7, text: b"{}".to_vec() })),
        (
            "claim-order",
            Command::ClaimOrder(ClaimOrder {
                order: order(),
                body_hash: 0xb0d1,
                router: RouterId("router-a/1".to_owned()),
                claim,
                at_ms: 1_700_000_000_000,
                until_ms: 1_700_000_300_000,
            }),
        ),
        (
            "complete-order",
            Command::CompleteOrder { order: claimed.clone(), claim, answer: b"done".to_vec() },
        ),
        ("release-order", Command::ReleaseOrder { order: claimed.clone(), claim }),
        ("doubt-order", Command::MarkOrderInDoubt { order: claimed, claim }),
        ("router-gone", Command::RouterGone { router: RouterId("router-b/1".to_owned()) }),
        ("advance-time", Command::AdvanceTime { now_ms: 1_700_000_001_000 }),
        ("acquire-fencing", Command::AcquireFencing { holder: "node-1".to_owned() }),
        ("put-plan", Command::PutPlan { fencing: FencingToken(1), plan: plan() }),
        (
            "register-node",
            Command::RegisterNode(ControlNode {
                node: 1,
                disk: 2,
                addr: "10.1.0.1:7340".to_owned(),
                failure_domain: "north".to_owned(),
            }),
        ),
        ("forget-node", Command::DeregisterNode { node: 9 }),
    ]
}

pub(crate) fn responses() -> Vec<(&'static str, Response)> {
    let claim = Response::Claim;
    vec![
        ("accepted", Response::Tables(TablesAnswer::Accepted { revision: Revision(8) })),
        ("conflict", Response::Tables(TablesAnswer::Conflict { current: Revision(9) })),
        ("change-reused", Response::Tables(TablesAnswer::ChangeReused)),
        ("document-accepted", Response::Document(DocumentAnswer::Accepted { version: 7 })),
        ("document-kept", Response::Document(DocumentAnswer::Kept { current: 8 })),
        ("granted", claim(ClaimAnswer::Granted)),
        ("in-progress", claim(ClaimAnswer::InProgress { since_ms: 1_700_000_000_000 })),
        ("kept", claim(ClaimAnswer::Done(LoggedAnswer::Kept(b"done".to_vec())))),
        ("too-long", claim(ClaimAnswer::Done(LoggedAnswer::TooLong { len_bytes: 1 << 20 }))),
        ("may-have-run", claim(ClaimAnswer::MayHaveRun)),
        ("key-reused", claim(ClaimAnswer::KeyReused)),
        ("released", claim(ClaimAnswer::Released)),
        ("too-old", claim(ClaimAnswer::TooOld)),
        ("full", claim(ClaimAnswer::Full)),
        ("settled", Response::Settle(SettleAnswer::Settled)),
        ("not-held", Response::Settle(SettleAnswer::NotHeld)),
        ("settle-may-have-run", Response::Settle(SettleAnswer::MayHaveRun)),
        ("fencing", Response::Fencing(FencingToken(3))),
        ("plan-accepted", Response::Plan(PlanAnswer::Accepted)),
        ("old-fencing", Response::Plan(PlanAnswer::OldFencing { current: FencingToken(5) })),
        ("noted", Response::Applied),
        ("unreadable", Response::Unreadable),
    ]
}

/// The state after all commands, with a claim in each stage.
pub(crate) fn state() -> State {
    let mut state = State::default();
    for (_, command) in commands() {
        state.apply(command);
    }
    for (idx, key) in (0..).zip(["running", "done", "doubted"]) {
        let order = OrderKey { key: key.to_owned(), ..order() };
        let claim = ClaimId(100 + idx);
        state.apply(Command::ClaimOrder(ClaimOrder {
            order: order.clone(),
            body_hash: idx,
            router: RouterId("router-a/1".to_owned()),
            claim,
            at_ms: 1_700_000_001_000,
            until_ms: 1_700_000_301_000,
        }));
        match key {
            "done" => {
                state.apply(Command::CompleteOrder { order, claim, answer: b"yes".to_vec() });
            }
            "doubted" => {
                state.apply(Command::MarkOrderInDoubt { order, claim });
            }
            _ => {}
        }
    }
    state
}

pub(crate) fn list() -> Vec<ListedVm> {
    vec![ListedVm {
        addr: addr(1),
        failure_domain: "north".to_owned(),
        pool: "p".to_owned(),
        incarnation: 3,
        label: "i-7f3a91c2".to_owned(),
        software_version: "v1".to_owned(),
        slots: 64,
        state: VmState::Leaving,
        is_spot: false,
        leaves_in_ms: None,
    }]
}

pub(crate) fn delta() -> Delta {
    let row = [("pool".to_owned(), "p".to_owned())].into();
    Delta {
        base: Revision(3),
        target: Revision(4),
        digest: 0x0123_4567_89ab_cdef,
        changes: vec![
            RowChange { table: TableKind::Routes, name: "chat".to_owned(), row: Some(row) },
            RowChange { table: TableKind::Pools, name: "old".to_owned(), row: None },
        ],
    }
}

pub(crate) fn stored_answer() -> StoredAnswer {
    let headers = BTreeMap::from([("content-type".to_owned(), "text/plain".to_owned())]);
    StoredAnswer { status: 200, headers, body: b"booked".to_vec() }
}
