//! Generates the arrivals: one Poisson process per class, thinned to follow the bursts.
//!
//! Each class and each arrival has its own random stream, so that a change to one class does not
//! change the arrival times of the others.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Arrival, ArrivalId, Attempt, ClassIdx, ClassSettings, PlanSettings, RequestKind, WorkspaceIdx,
    prompt,
};

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// Random streams from this number on belong to arrivals, lower numbers to classes.
const ARRIVAL_STREAMS_START: u64 = 1 << 32;

pub(super) fn generate(settings: &PlanSettings) -> Vec<Arrival> {
    let mut times = Vec::new();
    for class in (0..settings.classes.len()).map(ClassIdx) {
        times.extend(arrival_times(settings, class).into_iter().map(|at_us| (at_us, class)));
    }
    times.sort_unstable();
    times.truncate(settings.requests_max);

    let cumulative_shares = workspace_shares(settings);
    let mut arrivals = Vec::new();
    for (idx, (at_us, class)) in times.into_iter().enumerate() {
        let mut rng = rng_stream(settings.seed, ARRIVAL_STREAMS_START + idx as u64);
        let first = first_arrival(settings, &cumulative_shares, class, at_us, idx, &mut rng);
        let resend = resend(&settings.classes[class.0], &first, &mut rng);
        arrivals.push(first);
        arrivals.extend(resend);
    }
    assign_ids(arrivals, settings.requests_max)
}

/// The arrival times of one class in microseconds, drawn at the maximum rate and thinned to the
/// rate at each time.
fn arrival_times(settings: &PlanSettings, class: ClassIdx) -> Vec<u64> {
    let weights: u64 = settings.classes.iter().map(|it| u64::from(it.weight)).sum();
    let share = f64::from(settings.classes[class.0].weight) / weights as f64;
    let factor_max = burst_factor_max(settings, class);
    let rate_max_per_s = settings.rate_per_s * share * factor_max;
    if rate_max_per_s <= 0.0 {
        return Vec::new();
    }

    let mut rng = rng_stream(settings.seed, class.0 as u64);
    let end_us = settings.duration_ms * US_PER_MS;
    let mut times = Vec::new();
    let mut at_us = 0.0;
    while times.len() < settings.requests_max {
        let uniform: f64 = rng.random();
        at_us += -(1.0 - uniform).ln() / rate_max_per_s * US_PER_S;
        if at_us >= end_us as f64 {
            break;
        }
        let acceptance: f64 = rng.random();
        if acceptance * factor_max < burst_factor(settings, class, at_us as u64) {
            times.push(at_us as u64);
        }
    }
    times
}

fn burst_factor(settings: &PlanSettings, class: ClassIdx, at_us: u64) -> f64 {
    let name = &settings.classes[class.0].name;
    let mut factor = 1.0;
    for burst in &settings.bursts {
        let start_us = burst.start_ms * US_PER_MS;
        let end_us = start_us + burst.length_ms * US_PER_MS;
        let applies = burst.class.as_ref().is_none_or(|it| it == name);
        if applies && (start_us..end_us).contains(&at_us) {
            factor *= burst.factor;
        }
    }
    factor
}

/// An upper bound of [`burst_factor`] over all times.
fn burst_factor_max(settings: &PlanSettings, class: ClassIdx) -> f64 {
    let name = &settings.classes[class.0].name;
    let applicable =
        settings.bursts.iter().filter(|it| it.class.as_ref().is_none_or(|it| it == name));
    applicable.map(|it| it.factor.max(1.0)).product()
}

fn first_arrival(
    settings: &PlanSettings,
    cumulative_shares: &[f64],
    class_idx: ClassIdx,
    at_us: u64,
    idx: usize,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let class = &settings.classes[class_idx.0];
    let workspace = pick_workspace(cumulative_shares, rng.random());
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
        attempt: Attempt::First,
        prompt,
        max_tokens,
        idempotency_key: needs_key.then(|| format!("{}-{work}", settings.run_name)),
    }
}

fn resend(class: &ClassSettings, first: &Arrival, rng: &mut ChaCha8Rng) -> Option<Arrival> {
    if rng.random_range(0..1_000) >= class.resend_permille {
        return None;
    }
    let at_us = first.at_us + class.resend_after_ms * US_PER_MS;
    Some(Arrival { at_us, attempt: Attempt::Resend(ArrivalId(0)), ..first.clone() })
}

/// Sorts the arrivals by time, truncates them to `requests_max`, assigns ids and links each resend
/// to its first attempt.
fn assign_ids(mut arrivals: Vec<Arrival>, requests_max: usize) -> Vec<Arrival> {
    arrivals.sort_by_key(|it| it.at_us);
    arrivals.truncate(requests_max);
    let mut first_of_key = HashMap::new();
    for (idx, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = ArrivalId(idx as u64);
        let Some(key) = &arrival.idempotency_key else { continue };
        let first = *first_of_key.entry(key.clone()).or_insert(arrival.id);
        if first != arrival.id {
            arrival.attempt = Attempt::Resend(first);
        }
    }
    arrivals
}

/// The cumulative Zipf shares of the workspaces. The last one is 1.
fn workspace_shares(settings: &PlanSettings) -> Vec<f64> {
    let count = settings.workspaces.tokens.len();
    let weights = (1..=count).map(|rank| (rank as f64).powf(-settings.workspaces.skew));
    let total: f64 = weights.clone().sum();
    let cumulative = weights.scan(0.0, |sum, weight| {
        *sum += weight / total;
        Some(*sum)
    });
    cumulative.collect()
}

fn pick_workspace(cumulative_shares: &[f64], uniform: f64) -> WorkspaceIdx {
    let idx = cumulative_shares.partition_point(|share| *share <= uniform);
    WorkspaceIdx(idx.min(cumulative_shares.len() - 1))
}

fn rng_stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}
