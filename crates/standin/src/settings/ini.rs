//! Reads settings from INI; an absent key leaves its setting unchanged.

use std::{net::SocketAddr, str::FromStr};

use ini_settings::{Document, Faults as IniFaults, SectionReader};

use super::{
    EngineSettings, LookupSettings, OrderSettings, PlatformSettings, ServerSettings,
    ServiceSettings,
};
use crate::{Faults, VmEntry, VmState};

const SECTIONS: [&str; 7] = ["server", "faults", "engine", "model", "orders", "lookup", "platform"];
const VM_PREFIX: &str = "vm.";
const EXPECTED_NUMBER: &str = "a whole number";

/// Overrides the given settings with those of `document`.
///
/// # Errors
/// All invalid settings at once, each with its line and remedy; the others may be applied already.
pub fn apply(
    document: &Document,
    server: &mut ServerSettings,
    service: &mut ServiceSettings,
) -> Result<(), IniFaults> {
    let mut faults = IniFaults::default();
    let names = document.sections().iter().map(|it| it.name.as_str());
    let vm_names = names.filter(|it| it.starts_with(VM_PREFIX));
    let known: Vec<_> = SECTIONS.into_iter().chain(vm_names).collect();
    document.check_section_names(&known, &mut faults);
    read_server(document, server, &mut faults);
    match service {
        ServiceSettings::Engine(engine) => read_engine(document, engine, &mut faults),
        ServiceSettings::Orders(OrderSettings { work_ms }) => {
            read_work_time(document, "orders", work_ms, &mut faults);
        }
        ServiceSettings::Lookup(LookupSettings { work_ms }) => {
            read_work_time(document, "lookup", work_ms, &mut faults);
        }
        ServiceSettings::Platform(platform) => read_platform(document, platform, &mut faults),
    }
    faults.into_result(())
}

/// Reads a key into `value`, which stays unchanged if the key is absent.
fn read_over<T: FromStr>(reader: &mut SectionReader<'_>, key: &str, expected: &str, value: &mut T) {
    if let Some(read) = reader.optional(key, expected) {
        *value = read;
    }
}

fn read_server(document: &Document, server: &mut ServerSettings, faults: &mut IniFaults) {
    let section = document.section_or_empty("server");
    let mut reader = document.read(&section, faults);
    read_over(&mut reader, "listen", "an address such as 127.0.0.1:9001", &mut server.listen);
    read_over(&mut reader, "front", "relay or direct", &mut server.front);
    reader.finish();
    read_faults(document, &mut server.faults, faults);
}

fn read_faults(document: &Document, read: &mut Faults, faults: &mut IniFaults) {
    let section = document.section_or_empty("faults");
    let mut reader = document.read(&section, faults);
    let marker = reader.optional("crash_marker", "a word that the prompt contains");
    read.crash_marker = marker.or(read.crash_marker.take());
    read_over(&mut reader, "stall", "true or false", &mut read.stall);
    read_over(&mut reader, "refuse", "true or false", &mut read.refuse);
    read_over(&mut reader, "slowdown_permille", EXPECTED_NUMBER, &mut read.slowdown_permille);
    let cut = reader.optional("cut_after_tokens", EXPECTED_NUMBER);
    read.cut_after_tokens = cut.or(read.cut_after_tokens);
    read_over(&mut reader, "cut_style", "connection or body", &mut read.cut_style);
    read_over(&mut reader, "cross_answers", EXPECTED_NUMBER, &mut read.cross_answers);
    read_over(&mut reader, "lose_answers", EXPECTED_NUMBER, &mut read.lose_answers);
    let framings = "right, no-length, length-and-chunked or two-lengths";
    read_over(&mut reader, "framing", framings, &mut read.framing);
    reader.finish();
}

fn read_engine(document: &Document, engine: &mut EngineSettings, faults: &mut IniFaults) {
    let section = document.section_or_empty("engine");
    let mut reader = document.read(&section, faults);
    read_over(&mut reader, "time_scale_permille", EXPECTED_NUMBER, &mut engine.time_scale_permille);
    read_over(&mut reader, "report_lag_ms", EXPECTED_NUMBER, &mut engine.report_lag_ms);
    read_over(&mut reader, "cache_event_lag_ms", EXPECTED_NUMBER, &mut engine.cache_event_lag_ms);
    read_over(
        &mut reader,
        "lost_cache_event_every",
        EXPECTED_NUMBER,
        &mut engine.lost_cache_event_every,
    );
    read_over(&mut reader, "detached_keep_ms", EXPECTED_NUMBER, &mut engine.detached_keep_ms);
    read_over(&mut reader, "order_work_ms", EXPECTED_NUMBER, &mut engine.order_work_ms);
    read_over(&mut reader, "fencing", "enforced or ignored", &mut engine.fencing);
    let models: Vec<String> = reader.list("models", "names of models, separated by commas");
    if !models.is_empty() {
        engine.models = models;
    }
    read_over(&mut reader, "incarnation", EXPECTED_NUMBER, &mut engine.incarnation);
    reader.finish();
    read_model(document, &mut engine.model, faults);
}

fn read_model(
    document: &Document,
    model: &mut engine_model::EngineSettings,
    faults: &mut IniFaults,
) {
    let section = document.section_or_empty("model");
    let mut reader = document.read(&section, faults);
    read_over(&mut reader, "step_base_us", EXPECTED_NUMBER, &mut model.step_base_us);
    read_over(
        &mut reader,
        "step_per_sequence_us",
        EXPECTED_NUMBER,
        &mut model.step_per_sequence_us,
    );
    read_over(
        &mut reader,
        "prefill_per_token_us",
        EXPECTED_NUMBER,
        &mut model.prefill_per_token_us,
    );
    read_over(
        &mut reader,
        "prefill_step_max_tokens",
        EXPECTED_NUMBER,
        &mut model.prefill_step_max_tokens,
    );
    read_over(&mut reader, "batch_max", EXPECTED_NUMBER, &mut model.batch_max);
    read_over(&mut reader, "waiting_max", EXPECTED_NUMBER, &mut model.waiting_max);
    read_over(&mut reader, "block_tokens", EXPECTED_NUMBER, &mut model.block_tokens);
    read_over(&mut reader, "kv_blocks", EXPECTED_NUMBER, &mut model.kv_blocks);
    read_over(&mut reader, "prefix_cache_blocks", EXPECTED_NUMBER, &mut model.prefix_cache_blocks);
    read_over(&mut reader, "cache_events_max", EXPECTED_NUMBER, &mut model.cache_events_max);
    read_over(&mut reader, "paused_kv", "keep or free", &mut model.paused_kv);
    reader.finish();
}

fn read_work_time(document: &Document, name: &str, work_ms: &mut u64, faults: &mut IniFaults) {
    let section = document.section_or_empty(name);
    let mut reader = document.read(&section, faults);
    read_over(&mut reader, "work_ms", EXPECTED_NUMBER, work_ms);
    reader.finish();
}

fn read_platform(document: &Document, platform: &mut PlatformSettings, faults: &mut IniFaults) {
    let section = document.section_or_empty("platform");
    let mut reader = document.read(&section, faults);
    read_over(&mut reader, "list_lag_ms", EXPECTED_NUMBER, &mut platform.list_lag_ms);
    read_over(&mut reader, "stale_read_every", EXPECTED_NUMBER, &mut platform.stale_read_every);
    reader.finish();
    let vms = document.sections().iter().filter(|it| it.name.starts_with(VM_PREFIX));
    for section in vms {
        let mut reader = document.read(section, faults);
        let addr: Option<SocketAddr> = reader.optional("addr", "an address such as 127.0.0.1:9001");
        let Some(addr) = addr else {
            reader.fault("addr", "is missing", "write an address such as 127.0.0.1:9001");
            continue;
        };
        platform.vms.push(VmEntry {
            vm: section.name[VM_PREFIX.len()..].to_owned(),
            addr,
            failure_domain: reader.required("failure_domain", "the name of a failure domain"),
            pool: reader.required("pool", "the name of a pool"),
            incarnation: reader.or_default("incarnation", EXPECTED_NUMBER, 1),
            state: reader.or_default("state", "live or leaving", VmState::Live),
        });
        reader.finish();
    }
}
