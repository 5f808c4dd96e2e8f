//! What the scheduler of a pool is told of the tables.
//!
//! The operator was told that the tables are in force, so every pool gets a spec that its scheduler accepts:
//! names are unique, and shares fit into the whole.

use std::collections::BTreeMap;

use policy::{ClassSpec, Hedge, Pausing, PoolSpec, Spec, WorkspaceSpec};
use tables::{Pool, PoolKind, Route, Tables};

use super::revision_number;
use crate::identity::Workspaces;

/// The scheduler counts priorities upwards, while in the tables 0 is the most urgent.
const SCHEDULER_PRIORITY_MAX: u8 = u8::MAX;
const WHOLE_PERMILLE: u64 = 1_000;

/// The classes, the pool and the workspaces, as the scheduler of the pool needs them.
pub(super) fn pool_spec(tables: &Tables, pool: &Pool, workspaces: &Workspaces) -> Spec {
    let routes =
        tables.routes.iter().filter(|it| it.pools().any(|it| tables.pool(it).name == pool.name));
    Spec {
        revision: revision_number(tables.revision),
        classes: fit_shares(routes.map(class_spec).collect()),
        pools: vec![PoolSpec {
            name: pool.name.clone(),
            slots: pool.in_flight_max,
            pausing: match pool.kind {
                PoolKind::Engine => Pausing::Supported,
                PoolKind::Service => Pausing::Unsupported,
            },
            ..PoolSpec::default()
        }],
        workspaces: workspace_specs(tables, workspaces),
    }
}

/// The workspaces of the tables and of the workspaces file, whose limits hold for a name that is in both.
fn workspace_specs(tables: &Tables, workspaces: &Workspaces) -> Vec<WorkspaceSpec> {
    let listed = tables.workspaces.iter();
    let listed =
        listed.map(|it| WorkspaceSpec { name: it.name.clone(), ..WorkspaceSpec::default() });
    let known = workspaces.iter().map(|it| WorkspaceSpec {
        name: it.name.to_string(),
        weight: it.weight.max(1),
        in_flight_limit: it.in_flight_max,
    });
    let by_name: BTreeMap<_, _> = listed.chain(known).map(|it| (it.name.clone(), it)).collect();
    by_name.into_values().collect()
}

/// Scales shares down that come to more than the whole: the check of the tables sums up those of the routes
/// whose own pool this is, but a route may be split among several pools.
fn fit_shares(mut classes: Vec<ClassSpec>) -> Vec<ClassSpec> {
    let sum: u64 = classes.iter().map(|it| u64::from(it.share_permille)).sum();
    if sum > WHOLE_PERMILLE {
        for class in &mut classes {
            let share = u64::from(class.share_permille) * WHOLE_PERMILLE / sum;
            class.share_permille = share as u32;
        }
    }
    classes
}

fn class_spec(route: &Route) -> ClassSpec {
    let default = ClassSpec::default();
    let whole_target_ms = route.targets.whole_ms.unwrap_or(route.deadline_ms);
    ClassSpec {
        name: route.class.clone(),
        priority: SCHEDULER_PRIORITY_MAX - route.priority.0,
        share_permille: route.share_permille,
        first_token_target_ms: route.targets.first_token_ms.unwrap_or(whole_target_ms),
        between_token_target_ms: route
            .targets
            .between_tokens_ms
            .unwrap_or(default.between_token_target_ms),
        whole_target_ms,
        deadline_ms: route.deadline_ms,
        queue_limit: route.queue_max as usize,
        retry_budget_permille: route.retry_budget_permille,
        max_attempts: route.retries_max + 1,
        // The setting of the router limits it.
        hedge: Hedge::On,
        ..default
    }
}
