//! The state stays within its memory limits, and evicting old entries never makes an order or a
//! change take effect twice.

use control_state::{
    ANSWER_MAX_BYTES, ANSWERS_MAX_BYTES, CHANGE_IDS_MAX, ClaimAnswer, ClaimId, ClaimOrder, Command,
    KEY_RETENTION, KEYS_MAX, KEYS_MAX_BYTES, OrderKey, ProposeTables, Response, RouterId,
    SettleAnswer, State, StoredAnswer, TablesAnswer,
};
use tables::{Revision, TablesText};

fn order(key: u64) -> OrderKey {
    OrderKey { workspace: "w".to_owned(), route: "r".to_owned(), key: key.to_string() }
}

/// Claims an order; the claim id is the number of the key.
fn claim(state: &mut State, key: u64, at_ms: u64) -> ClaimAnswer {
    let response = state.apply(Command::ClaimOrder(ClaimOrder {
        order: order(key),
        body_hash: 0,
        router: RouterId("router".to_owned()),
        claim: ClaimId(key),
        at_ms,
        until_ms: u64::MAX,
    }));
    let Response::Claim(answer) = response else { panic!("{response:?}") };
    answer
}

/// Claims an order, stores an answer of this length and returns the result of a retry.
fn run_order(state: &mut State, key: u64, at_ms: u64, len_bytes: usize) -> ClaimAnswer {
    assert_eq!(claim(state, key, at_ms), ClaimAnswer::Granted);
    let answer = vec![0; len_bytes];
    let complete = Command::CompleteOrder { order: order(key), claim: ClaimId(key), answer };
    assert_eq!(state.apply(complete), Response::Settle(SettleAnswer::Settled));
    claim(state, key, at_ms)
}

fn propose(state: &mut State, change: u64, base: u64) -> TablesAnswer {
    let response = state.apply(Command::ProposeTables(ProposeTables {
        change: change.to_string().into(),
        base: Revision(base),
        text: TablesText::default(),
    }));
    let Response::Tables(answer) = response else { panic!("{response:?}") };
    answer
}

fn too_long(len_bytes: usize) -> ClaimAnswer {
    ClaimAnswer::Done(StoredAnswer::TooLong { len_bytes: len_bytes as u64 })
}

fn kept(len_bytes: usize) -> ClaimAnswer {
    ClaimAnswer::Done(StoredAnswer::Kept(vec![0; len_bytes]))
}

#[test]
fn long_answers() {
    let mut state = State::default();
    assert_eq!(run_order(&mut state, 1, 1, ANSWER_MAX_BYTES), kept(ANSWER_MAX_BYTES));
    assert_eq!(run_order(&mut state, 2, 1, ANSWER_MAX_BYTES + 1), too_long(ANSWER_MAX_BYTES + 1));
}

#[test]
fn many_answers() {
    let mut state = State::default();
    let answers_max = (ANSWERS_MAX_BYTES / ANSWER_MAX_BYTES) as u64;
    for key in 0..answers_max {
        assert_eq!(run_order(&mut state, key, 1, ANSWER_MAX_BYTES), kept(ANSWER_MAX_BYTES));
    }
    assert_eq!(run_order(&mut state, answers_max, 1, 1), too_long(1));
    let now_ms = KEY_RETENTION.as_millis() as u64 + 1;
    state.apply(Command::AdvanceTime { now_ms });
    assert_eq!(run_order(&mut state, answers_max, now_ms, 1), kept(1));
}

#[test]
fn many_keys() {
    let mut state = State::default();
    for key in 0..KEYS_MAX as u64 {
        assert_eq!(claim(&mut state, key, 1), ClaimAnswer::Granted);
    }
    assert_eq!(claim(&mut state, KEYS_MAX as u64, 1), ClaimAnswer::Full);
    assert_eq!(
        claim(&mut state, 0, 1),
        ClaimAnswer::Granted,
        "a retry gets its claim although no new keys are accepted"
    );
}

#[test]
fn evicted_change() {
    let mut state = State::default();
    let accepted = |revision| TablesAnswer::Accepted { revision: Revision(revision) };
    assert_eq!(propose(&mut state, 0, 0), accepted(1));
    for change in 1..CHANGE_IDS_MAX as u64 {
        assert_eq!(propose(&mut state, change, change), accepted(change + 1));
    }
    assert_eq!(propose(&mut state, 0, 0), accepted(1), "the change is still remembered");
    let last = CHANGE_IDS_MAX as u64;
    assert_eq!(propose(&mut state, last, last), accepted(last + 1));
    let conflict = TablesAnswer::Conflict { current: Revision(last + 1) };
    assert_eq!(propose(&mut state, 0, 0), conflict, "an evicted change is not applied twice");
}

/// Keys of the greatest length would make a snapshot larger than a disk, long before their number is
/// at its limit.
#[test]
fn long_keys() {
    let claim_of = |number: u64| {
        let key = format!("{number:0>256}");
        let name = "n".repeat(256);
        Command::ClaimOrder(ClaimOrder {
            order: OrderKey { workspace: name.clone(), route: name, key },
            body_hash: 0,
            router: RouterId("router".to_owned()),
            claim: ClaimId(number),
            at_ms: 1,
            until_ms: u64::MAX,
        })
    };
    let mut state = State::default();
    let admitted = (0..KEYS_MAX as u64).take_while(|number| {
        let is_admitted = state.admit(&claim_of(*number)).is_ok();
        if is_admitted {
            state.apply(claim_of(*number));
        }
        is_admitted
    });
    let admitted = admitted.count() as u64;
    assert!(state.snapshot().len() < KEYS_MAX_BYTES + 1024 * 1024);
    assert!(admitted > 10_000, "only {admitted} keys were admitted");
    // A retry of a known order is admitted, also after a restart, and new ones once keys have expired.
    let mut state = State::restore(&state.snapshot()).expect("the snapshot is whole");
    assert!(state.admit(&claim_of(admitted)).is_err());
    assert!(state.admit(&claim_of(0)).is_ok());
    let now_ms = KEY_RETENTION.as_millis() as u64 + 2;
    state.apply(Command::AdvanceTime { now_ms });
    assert!(state.admit(&claim_of(admitted)).is_ok());
}
