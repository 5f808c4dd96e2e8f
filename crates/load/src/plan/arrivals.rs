//! Draws the arrivals: a Poisson process a class, thinned to follow the bursts.
//!
//! Each class and each arrival has a random stream of its own, so that a change to one class
//! leaves the arrivals of the others as they were.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Arrival, ArrivalId, ClassIdx, ClassSettings, PlanSettings, RequestKind, Sending, WorkspaceIdx,
    prompt,
};

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// Streams from this number on belong to single arrivals, those below it to classes.
const FIRST_ARRIVAL_STREAM: u64 = 1 << 32;

pub(super) fn draw(settings: &PlanSettings) -> Vec<Arrival> {
    let mut times = Vec::new();
    for class in (0..settings.classes.len()).map(ClassIdx) {
        times.extend(times_of(settings, class).into_iter().map(|at_us| (at_us, class)));
    }
    times.sort_unstable();
    times.truncate(settings.requests_max);

    let shares = workspace_shares(settings);
    let mut arrivals = Vec::new();
    for (idx, (at_us, class)) in times.into_iter().enumerate() {
        let mut rng = stream(settings.seed, FIRST_ARRIVAL_STREAM + idx as u64);
        let first = first_sending(settings, &shares, class, at_us, idx, &mut rng);
        let resend = resend_of(&settings.classes[class.0], &first, &mut rng);
        arrivals.push(first);
        arrivals.extend(resend);
    }
    number(arrivals, settings.requests_max)
}

/// The arrival times of one class in microseconds.
fn times_of(settings: &PlanSettings, class: ClassIdx) -> Vec<u64> {
    let weights: u64 = settings.classes.iter().map(|it| u64::from(it.weight)).sum();
    let share = f64::from(settings.classes[class.0].weight) / weights as f64;
    let peak = peak_factor(settings, class);
    let peak_rate_per_s = settings.rate_per_s * share * peak;
    if peak_rate_per_s <= 0.0 {
        return Vec::new();
    }

    let mut rng = stream(settings.seed, class.0 as u64);
    let end_us = settings.duration_ms * US_PER_MS;
    let mut times = Vec::new();
    let mut at_us = 0.0;
    while times.len() < settings.requests_max {
        let uniform: f64 = rng.random();
        at_us += -(1.0 - uniform).ln() / peak_rate_per_s * US_PER_S;
        if at_us >= end_us as f64 {
            break;
        }
        let kept: f64 = rng.random();
        if kept * peak < factor_at(settings, class, at_us as u64) {
            times.push(at_us as u64);
        }
    }
    times
}

fn factor_at(settings: &PlanSettings, class: ClassIdx, at_us: u64) -> f64 {
    let name = &settings.classes[class.0].name;
    let mut factor = 1.0;
    for burst in &settings.bursts {
        let start_us = burst.start_ms * US_PER_MS;
        let end_us = start_us + burst.length_ms * US_PER_MS;
        let concerned = burst.class.as_ref().is_none_or(|it| it == name);
        if concerned && (start_us..end_us).contains(&at_us) {
            factor *= burst.factor;
        }
    }
    factor
}

/// An upper bound of [`factor_at`] over the whole plan.
fn peak_factor(settings: &PlanSettings, class: ClassIdx) -> f64 {
    let name = &settings.classes[class.0].name;
    let concerned =
        settings.bursts.iter().filter(|it| it.class.as_ref().is_none_or(|it| it == name));
    concerned.map(|it| it.factor.max(1.0)).product()
}

fn first_sending(
    settings: &PlanSettings,
    shares: &[f64],
    class_idx: ClassIdx,
    at_us: u64,
    idx: usize,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let class = &settings.classes[class_idx.0];
    let workspace = pick_workspace(shares, rng.random());
    let words = rng.random_range(class.prompt_words_min..=class.prompt_words_max);
    let max_tokens = rng.random_range(class.tokens_min..=class.tokens_max);
    let work = format!("{:x}-{idx}", settings.seed);
    let prompt = match class.kind {
        RequestKind::Chat => prompt::chat(workspace, class.shared_words, &work, words, rng),
        RequestKind::Order | RequestKind::Lookup => format!("item-{work}"),
    };
    let needs_key = class.kind == RequestKind::Order || class.resend_permille > 0;
    Arrival {
        id: ArrivalId(0),
        at_us,
        class: class_idx,
        workspace,
        sending: Sending::First,
        prompt,
        max_tokens,
        idempotency_key: needs_key.then(|| format!("{}-{work}", settings.run_name)),
    }
}

fn resend_of(class: &ClassSettings, first: &Arrival, rng: &mut ChaCha8Rng) -> Option<Arrival> {
    if rng.random_range(0..1_000) >= class.resend_permille {
        return None;
    }
    let at_us = first.at_us + class.resend_after_ms * US_PER_MS;
    Some(Arrival { at_us, sending: Sending::Resend(ArrivalId(0)), ..first.clone() })
}

/// Sorts by time, cuts to the most requests and gives every arrival its number.
fn number(mut arrivals: Vec<Arrival>, requests_max: usize) -> Vec<Arrival> {
    arrivals.sort_by_key(|it| it.at_us);
    arrivals.truncate(requests_max);
    let mut first_of_key = HashMap::new();
    for (idx, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = ArrivalId(idx as u64);
        let Some(key) = &arrival.idempotency_key else { continue };
        let first = *first_of_key.entry(key.clone()).or_insert(arrival.id);
        if first != arrival.id {
            arrival.sending = Sending::Resend(first);
        }
    }
    arrivals
}

/// The cumulated shares of the workspaces, the last one being 1.
fn workspace_shares(settings: &PlanSettings) -> Vec<f64> {
    let count = settings.workspaces.tokens.len();
    let weights = (1..=count).map(|rank| (rank as f64).powf(-settings.workspaces.skew));
    let total: f64 = weights.clone().sum();
    let cumulated = weights.scan(0.0, |sum, weight| {
        *sum += weight / total;
        Some(*sum)
    });
    cumulated.collect()
}

fn pick_workspace(shares: &[f64], uniform: f64) -> WorkspaceIdx {
    let idx = shares.partition_point(|share| *share <= uniform);
    WorkspaceIdx(idx.min(shares.len() - 1))
}

fn stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}
