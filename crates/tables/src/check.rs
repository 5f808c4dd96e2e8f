//! Parses, validates and joins both tables, and reports all faults at once.

use std::{collections::BTreeMap, str::FromStr};

use ini_settings::{Document, Faults, Section, SectionReader};

use crate::{
    Access, Discovery, Exchange, Fencing, Idempotency, Pool, PoolIdx, PoolKind, PoolShare,
    Priority, Revision, Route, Tables, TablesText, Targets,
};

const SHARES_MAX_PERMILLE: u32 = 1000;
const SHARE_DEFAULT_PERMILLE: u32 = 10;
const RETRY_BUDGET_DEFAULT_PERMILLE: u32 = 100;
const QUEUE_MAX_DEFAULT: u32 = 256;
const WORKSPACE_IN_FLIGHT_MAX_DEFAULT: u32 = 64;
const IN_FLIGHT_MAX_DEFAULT: u32 = 32;
const HEALTH_PATH_DEFAULT: &str = "/healthz";

const MILLISECONDS: &str = "a whole number of milliseconds, such as 450";
const PERMILLE: &str = "a whole number of thousandths, such as 100";
const COUNT: &str = "a whole number";
const EXCHANGES: &str = "native, whole, events or resumable-events";

/// Parses, validates and joins the tables.
///
/// # Errors
///
/// Returns every fault in both tables, sorted by table and line.
pub fn check(revision: Revision, text: &TablesText) -> Result<Tables, Faults> {
    let mut faults = Faults::default();
    let pools_document = parse("pools", &text.pools, &mut faults);
    let routes_document = parse("routes", &text.routes, &mut faults);
    let pools = read_pools(&pools_document, &mut faults);
    let routes = read_routes(&routes_document, &pools, &mut faults);
    check_shares(&routes_document, &routes, &pools, &mut faults);
    faults.into_result(Tables { revision, routes, pools, ..Tables::default() })
}

fn parse(name: &str, text: &str, faults: &mut Faults) -> Option<Document> {
    Document::parse(name, text).map_err(|found| faults.extend(found)).ok()
}

fn sorted_sections(document: &Option<Document>) -> Vec<&Section> {
    let mut sections: Vec<_> = document.iter().flat_map(Document::sections).collect();
    sections.sort_by(|a, b| a.name.cmp(&b.name));
    sections
}

fn read_pools(document: &Option<Document>, faults: &mut Faults) -> Vec<Pool> {
    let Some(doc) = document else { return Vec::new() };
    sorted_sections(document).iter().map(|it| read_pool(doc, it, faults)).collect()
}

fn read_pool(document: &Document, section: &Section, faults: &mut Faults) -> Pool {
    let mut reader = document.read(section, faults);
    let pool = Pool {
        name: section.name.clone(),
        kind: reader.required("kind", "engine or service"),
        engine: reader.or_default("engine", "the name of the engine", String::new()),
        model: reader.or_default("model", "the name of the model", String::new()),
        version: reader.or_default("version", "the version", String::new()),
        health_path: reader.or_default("health_path", "a path", HEALTH_PATH_DEFAULT.to_owned()),
        connections_max: reader.optional("connections_max", COUNT),
        tokens_per_event: reader.or_default("tokens_per_event", COUNT, 1),
        in_flight_max: reader.or_default("in_flight_max", COUNT, IN_FLIGHT_MAX_DEFAULT),
        fencing: reader.or_default("fencing", "enforced or ignored", Fencing::default()),
        discovery: reader.or_default("discovery", "table or platform", Discovery::default()),
        servers: reader.list("servers", "ADDRESS:PORT@FAILURE_DOMAIN, separated by commas"),
        scaling: None,
    };
    if pool.kind == PoolKind::Engine && pool.model.is_empty() {
        reader.fault("model", "is missing for a pool of engines", "write the name of the model");
    }
    if pool.in_flight_max == 0 {
        reader.fault("in_flight_max", "leaves no capacity", "write 1 or more");
    }
    if pool.servers.is_empty() && pool.discovery == Discovery::Table {
        reader.fault(
            "servers",
            "the pool has no servers",
            "name servers or write discovery = platform",
        );
    }
    reader.finish();
    pool
}

fn read_routes(document: &Option<Document>, pools: &[Pool], faults: &mut Faults) -> Vec<Route> {
    let Some(doc) = document else { return Vec::new() };
    sorted_sections(document).iter().map(|it| read_route(doc, it, pools, faults)).collect()
}

fn read_route(
    document: &Document,
    section: &Section,
    pools: &[Pool],
    faults: &mut Faults,
) -> Route {
    let mut reader = document.read(section, faults);
    let idempotency: IdempotentValue = reader.required("idempotent", "yes or no");
    let retries_default = u32::from(idempotency.0 == Idempotency::Idempotent);
    let route = Route {
        class: section.name.clone(),
        host: reader.or_default("host", "the host of the requests", String::new()),
        path: reader.required("path", "the path of the requests, such as /v1/chat/completions"),
        priority: reader.required("priority", "a number from 0, the most urgent, to 5"),
        pool: read_pool_idx(&mut reader, pools),
        split: read_split(&mut reader, pools),
        exchange: reader.or_default("exchange", EXCHANGES, Exchange::default()),
        access: reader.or_default("access", "workspace or public", Access::default()),
        targets: read_targets(&mut reader),
        deadline_ms: reader.required("deadline_ms", MILLISECONDS),
        share_permille: reader.or_default("share_permille", PERMILLE, SHARE_DEFAULT_PERMILLE),
        idempotency: idempotency.0,
        retries_max: reader.or_default("retries_max", COUNT, retries_default),
        retry_budget_permille: reader.or_default(
            "retry_budget_permille",
            PERMILLE,
            RETRY_BUDGET_DEFAULT_PERMILLE,
        ),
        queue_max: reader.or_default("queue_max", COUNT, QUEUE_MAX_DEFAULT),
        workspace_in_flight_max: reader.or_default(
            "workspace_in_flight_max",
            COUNT,
            WORKSPACE_IN_FLIGHT_MAX_DEFAULT,
        ),
        workspaces: reader.list("workspaces", "workspaces separated by commas"),
    };
    check_route(&route, &mut reader);
    reader.finish();
    route
}

fn read_split(reader: &mut SectionReader<'_>, pools: &[Pool]) -> Vec<PoolShare> {
    let shares: Vec<NamedShare> = reader.list("split", "POOL:WEIGHT, separated by commas");
    if !shares.is_empty() && shares.iter().all(|it| it.weight == 0) {
        reader.fault("split", "the weights add up to 0", "give one pool a weight");
    }
    let share = |it: &NamedShare| PoolShare {
        pool: resolve_pool(reader, "split", &it.pool, pools),
        weight: it.weight,
    };
    shares.iter().map(share).collect()
}

fn read_pool_idx(reader: &mut SectionReader<'_>, pools: &[Pool]) -> PoolIdx {
    let name: String = reader.required("pool", "the name of a pool");
    resolve_pool(reader, "pool", &name, pools)
}

/// The index of the pool `name`; an unknown name is a fault of `key`.
fn resolve_pool(reader: &mut SectionReader<'_>, key: &str, name: &str, pools: &[Pool]) -> PoolIdx {
    if let Some(idx) = pools.iter().position(|it| it.name == name) {
        return PoolIdx(idx as u32);
    }
    if !name.is_empty() {
        let known: Vec<_> = pools.iter().map(|it| it.name.as_str()).collect();
        let remedy = format!("add the pool or use one of: {}", known.join(", "));
        reader.fault(key, &format!("no pool is named `{name}`"), &remedy);
    }
    PoolIdx::default()
}

fn read_targets(reader: &mut SectionReader<'_>) -> Targets {
    Targets {
        first_token_ms: reader.optional("target_first_token_ms", MILLISECONDS),
        between_tokens_ms: reader.optional("target_between_tokens_ms", MILLISECONDS),
        whole_ms: reader.optional("target_whole_ms", MILLISECONDS),
    }
}

fn check_route(route: &Route, reader: &mut SectionReader<'_>) {
    if !route.path.is_empty() && !route.path.starts_with('/') {
        reader.fault("path", "is not a path", "start it with /");
    }
    if route.priority > Priority::LOWEST {
        reader.fault("priority", "is beyond the tiers", "write a number from 0 to 5");
    }
    if route.share_permille == 0 {
        reader.fault("share_permille", "would let the class starve", "write 1 or more");
    }
    let longest = route.targets.whole_ms.max(route.targets.first_token_ms);
    if longest.is_some_and(|target| target > route.deadline_ms) {
        reader.fault("deadline_ms", "is before a target", "make it the longest of the times");
    }
    if route.idempotency == Idempotency::AtMostOnce && route.retries_max > 0 {
        reader.fault("retries_max", "repeats what may run once", "write 0 or idempotent = yes");
    }
}

fn check_shares(
    document: &Option<Document>,
    routes: &[Route],
    pools: &[Pool],
    faults: &mut Faults,
) {
    let Some(document) = document else { return };
    let mut sums: BTreeMap<PoolIdx, u32> = BTreeMap::new();
    for route in routes {
        let sum = sums.entry(route.pool).or_default();
        let before = *sum;
        *sum = before.saturating_add(route.share_permille);
        if before > SHARES_MAX_PERMILLE || *sum <= SHARES_MAX_PERMILLE {
            continue;
        }
        let Some(pool) = pools.get(route.pool.0 as usize) else { continue };
        let problem =
            format!("the shares of pool {} come to over {SHARES_MAX_PERMILLE}", pool.name);
        let section = document.section_or_empty(&route.class);
        document.read(&section, faults).fault("share_permille", &problem, "lower some of them");
    }
}

/// One entry of a split in the notation `POOL:WEIGHT`.
struct NamedShare {
    pool: String,
    weight: u32,
}

impl FromStr for NamedShare {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (pool, weight) = text.rsplit_once(':').ok_or(())?;
        Ok(NamedShare { pool: pool.trim().to_owned(), weight: weight.parse().map_err(|_| ())? })
    }
}

/// The value of the key `idempotent`, which is `yes` or `no`.
#[derive(Default)]
struct IdempotentValue(Idempotency);

impl FromStr for IdempotentValue {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "yes" => Ok(IdempotentValue(Idempotency::Idempotent)),
            "no" => Ok(IdempotentValue(Idempotency::AtMostOnce)),
            _ => Err(()),
        }
    }
}
