//! Parses the settings of a plan from INI text.
//!
//! Sections are `[plan]`, one `[class.NAME]` for each class, and `[burst.NAME]` for each burst.

use ini_settings::{Document, Faults, Section, SectionReader};

use super::{BurstSettings, ClassSettings, LatencyTarget, PlanSettings, WorkspaceSettings};

const PLAN_SECTION: &str = "plan";
const CLASS_PREFIX: &str = "class.";
const BURST_PREFIX: &str = "burst.";

const WHOLE_NUMBER: &str = "a whole number";
const MILLISECONDS: &str = "whole milliseconds";

impl PlanSettings {
    /// Parses settings from `text`; `source_name` names the file in faults. Keys that are left out
    /// have their defaults.
    ///
    /// # Errors
    ///
    /// All faults at once, each with its line and remedy.
    pub fn from_ini(source_name: &str, text: &str) -> Result<PlanSettings, Faults> {
        let document = Document::parse(source_name, text)?;
        let mut faults = Faults::default();
        check_names(&document, &mut faults);
        let plan = document.section_or_empty(PLAN_SECTION);
        let mut settings = plan_settings(document.read(&plan, &mut faults));
        settings.classes = read_sections(&document, CLASS_PREFIX, &mut faults, class_settings);
        settings.bursts =
            read_sections(&document, BURST_PREFIX, &mut faults, |_, it| burst_settings(it));
        faults.into_result(settings)
    }
}

fn check_names(document: &Document, faults: &mut Faults) {
    let names = document.sections().iter().map(|it| it.name.as_str());
    let class_and_burst_names =
        names.filter(|it| it.starts_with(CLASS_PREFIX) || it.starts_with(BURST_PREFIX));
    let known: Vec<&str> = std::iter::once(PLAN_SECTION).chain(class_and_burst_names).collect();
    document.check_section_names(&known, faults);
}

fn read_sections<T>(
    document: &Document,
    prefix: &str,
    faults: &mut Faults,
    read: impl Fn(&str, SectionReader<'_>) -> T,
) -> Vec<T> {
    let mut values = Vec::new();
    for section in document.sections() {
        let Section { name, .. } = section;
        if let Some(name) = name.strip_prefix(prefix) {
            values.push(read(name, document.read(section, faults)));
        }
    }
    values
}

fn plan_settings(mut reader: SectionReader<'_>) -> PlanSettings {
    let default = PlanSettings::default();
    let workspaces = WorkspaceSettings {
        tokens: reader.list("workspace_tokens", "bearer tokens separated by commas"),
        skew: reader.or_default("workspace_skew", "a number", default.workspaces.skew),
    };
    let settings = PlanSettings {
        run_name: reader.or_default("run_name", "a word", default.run_name),
        seed: reader.or_default("seed", WHOLE_NUMBER, default.seed),
        duration_ms: reader.or_default("duration_ms", MILLISECONDS, default.duration_ms),
        rate_per_s: reader.or_default("rate_per_s", "requests a second", default.rate_per_s),
        requests_max: reader.or_default("requests_max", WHOLE_NUMBER, default.requests_max),
        workspaces,
        ..PlanSettings::default()
    };
    reader.finish();
    settings
}

fn class_settings(name: &str, mut reader: SectionReader<'_>) -> ClassSettings {
    let default = ClassSettings::default();
    let target = LatencyTarget {
        first_token_ms: reader.optional("first_token_ms", MILLISECONDS),
        between_tokens_ms: reader.optional("between_tokens_ms", MILLISECONDS),
        whole_ms: reader.optional("whole_ms", MILLISECONDS),
    };
    let mut count = |key, default| reader.or_default(key, WHOLE_NUMBER, default);
    let settings = ClassSettings {
        name: name.to_owned(),
        weight: count("weight", default.weight),
        prompt_words_min: count("prompt_words_min", default.prompt_words_min),
        prompt_words_max: count("prompt_words_max", default.prompt_words_max),
        shared_words: count("shared_words", default.shared_words),
        tokens_min: count("tokens_min", default.tokens_min),
        tokens_max: count("tokens_max", default.tokens_max),
        resend_permille: count("resend_permille", default.resend_permille),
        kind: reader.or_default("kind", "chat, order or lookup", default.kind),
        model: reader.or_default("model", "the name of a model", default.model),
        answer: reader.or_default("answer", "streamed or whole", default.answer),
        resend_after_ms: reader.or_default(
            "resend_after_ms",
            MILLISECONDS,
            default.resend_after_ms,
        ),
        target,
    };
    reader.finish();
    settings
}

fn burst_settings(mut reader: SectionReader<'_>) -> BurstSettings {
    let default = BurstSettings::default();
    let settings = BurstSettings {
        start_ms: reader.required("start_ms", MILLISECONDS),
        length_ms: reader.required("length_ms", MILLISECONDS),
        class: reader.optional("class", "the name of a class"),
        factor: reader.or_default("factor", "a number", default.factor),
    };
    reader.finish();
    settings
}
