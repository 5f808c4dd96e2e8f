//! The settings of a plan and their validation.

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

/// The settings from which a plan is generated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlanSettings {
    /// A part of every request id and idempotency key, so that two runs of one plan against the
    /// same routers do not share keys.
    pub run_name: String,
    /// The seed of every random choice.
    pub seed: u64,
    /// The length of the plan in milliseconds.
    pub duration_ms: u64,
    /// The mean rate of first attempts over all classes, outside bursts, in requests per second.
    pub rate_per_s: f64,
    /// The maximum number of arrivals; the plan is truncated there.
    pub requests_max: usize,
    /// The workspaces, the one with the most requests first.
    pub workspaces: WorkspaceSettings,
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Time windows with a multiplied rate.
    pub bursts: Vec<BurstSettings>,
}

impl Default for PlanSettings {
    fn default() -> Self {
        PlanSettings {
            run_name: "run".to_owned(),
            seed: 1,
            duration_ms: 10_000,
            rate_per_s: 20.0,
            requests_max: 10_000,
            workspaces: WorkspaceSettings::default(),
            classes: vec![ClassSettings::default()],
            bursts: Vec::new(),
        }
    }
}

/// The workspaces and the skew of their request rates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkspaceSettings {
    /// The bearer token of each workspace, the one with the most requests first.
    pub tokens: Vec<String>,
    /// The exponent of the Zipf distribution over the workspaces; 0 gives equal shares.
    pub skew: f64,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        WorkspaceSettings { tokens: vec!["token-0".to_owned()], skew: 1.0 }
    }
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A chat completion of a model engine.
    Chat,
    /// A non-idempotent order of a plain service.
    Order,
    /// An idempotent lookup of a plain service.
    Lookup,
}

/// How the answer to a chat request is transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerMode {
    /// Token by token as server-sent events.
    Streamed,
    /// As one JSON document.
    Whole,
}

/// The latency targets of a class. A target that is missing always counts as met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LatencyTarget {
    /// Time to the first token in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Mean time between tokens in milliseconds.
    pub between_tokens_ms: Option<u64>,
    /// Time to the end of the answer in milliseconds.
    pub whole_ms: Option<u64>,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClassSettings {
    /// The name of the class in the routes table.
    pub name: String,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// Its share of the rate, relative to the weights of the other classes.
    pub weight: u32,
    /// The model that chat requests name.
    pub model: String,
    /// How chat answers are transferred.
    pub answer: AnswerMode,
    /// The minimum number of random words in a prompt.
    pub prompt_words_min: u32,
    /// The maximum number of random words in a prompt.
    pub prompt_words_max: u32,
    /// The number of words at the start of each prompt that are the same within a workspace.
    pub shared_words: u32,
    /// The minimum of the requests' limits of answer tokens.
    pub tokens_min: u32,
    /// The maximum of the requests' limits of answer tokens.
    pub tokens_max: u32,
    /// The latency targets.
    pub target: LatencyTarget,
    /// The share of its requests that is resent with the same key, in thousandths.
    pub resend_permille: u32,
    /// The time between the first attempt and the resend in milliseconds.
    pub resend_after_ms: u64,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            name: "chat".to_owned(),
            kind: RequestKind::Chat,
            weight: 1,
            model: "small".to_owned(),
            answer: AnswerMode::Streamed,
            prompt_words_min: 8,
            prompt_words_max: 64,
            shared_words: 4,
            tokens_min: 16,
            tokens_max: 64,
            target: LatencyTarget::default(),
            resend_permille: 0,
            resend_after_ms: 200,
        }
    }
}

/// A time window in which the rate is multiplied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BurstSettings {
    /// Its start in milliseconds since the start of the run.
    pub start_ms: u64,
    /// Its length in milliseconds.
    pub length_ms: u64,
    /// The class that it applies to; all classes if missing.
    pub class: Option<String>,
    /// The factor that multiplies the rate.
    pub factor: f64,
}

impl Default for BurstSettings {
    fn default() -> Self {
        BurstSettings { start_ms: 0, length_ms: 1_000, class: None, factor: 2.0 }
    }
}

/// A fault of the settings of a plan.
#[derive(Debug, Clone, PartialEq, Display, Error)]
pub enum PlanFault {
    /// A number is out of bounds.
    #[display("{field} of {owner} is {value}; give a value {bounds}")]
    OutOfBounds {
        /// The class, burst or plan that has the field.
        owner: String,
        /// The field.
        field: &'static str,
        /// The value found.
        value: f64,
        /// The bounds in words.
        bounds: &'static str,
    },
    /// A list is empty.
    #[display("the plan has no {what}; add at least one")]
    Missing {
        /// What is missing.
        what: &'static str,
    },
    /// Two classes share a name.
    #[display("class {name} is defined twice; rename one of the two")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// A burst names a class that does not exist.
    #[display("a burst names class {name}, which is not defined; add [class.{name}] or correct it")]
    UnknownClass {
        /// The name.
        name: String,
    },
}

impl PlanSettings {
    /// Checks the bounds of every field and the references between sections.
    ///
    /// # Errors
    ///
    /// All faults at once, each with its remedy.
    pub fn check(&self) -> Result<(), Vec<PlanFault>> {
        let mut faults = Vec::new();
        self.check_plan(&mut faults);
        for class in &self.classes {
            class.check(&mut faults);
        }
        self.check_names(&mut faults);
        for burst in &self.bursts {
            burst.check(&mut faults);
        }
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    fn check_plan(&self, faults: &mut Vec<PlanFault>) {
        if !(self.rate_per_s > 0.0 && self.rate_per_s <= 100_000.0) {
            faults.push(out_of_bounds("the plan", "rate_per_s", self.rate_per_s, "in 0..100000"));
        }
        if !(self.workspaces.skew >= 0.0 && self.workspaces.skew <= 10.0) {
            let skew = self.workspaces.skew;
            faults.push(out_of_bounds("the plan", "workspace_skew", skew, "from 0 to 10"));
        }
        if self.classes.is_empty() {
            faults.push(PlanFault::Missing { what: "class" });
        }
        if self.workspaces.tokens.is_empty() {
            faults.push(PlanFault::Missing { what: "workspace token" });
        }
        if !self.classes.is_empty() && self.classes.iter().all(|it| it.weight == 0) {
            faults.push(out_of_bounds("every class", "weight", 0.0, "above 0 for one of them"));
        }
    }

    fn check_names(&self, faults: &mut Vec<PlanFault>) {
        for (idx, class) in self.classes.iter().enumerate() {
            if self.classes[..idx].iter().any(|it| it.name == class.name) {
                faults.push(PlanFault::DuplicateClass { name: class.name.clone() });
            }
        }
        for name in self.bursts.iter().filter_map(|it| it.class.as_ref()) {
            if !self.classes.iter().any(|it| &it.name == name) {
                faults.push(PlanFault::UnknownClass { name: name.clone() });
            }
        }
    }
}

impl ClassSettings {
    fn check(&self, faults: &mut Vec<PlanFault>) {
        let owner = format!("class {}", self.name);
        if self.prompt_words_min > self.prompt_words_max {
            let value = f64::from(self.prompt_words_min);
            faults.push(out_of_bounds(&owner, "prompt_words_min", value, "up to prompt_words_max"));
        }
        if self.tokens_min == 0 || self.tokens_min > self.tokens_max {
            let value = f64::from(self.tokens_min);
            faults.push(out_of_bounds(&owner, "tokens_min", value, "from 1 to tokens_max"));
        }
        if self.resend_permille > 1_000 {
            let value = f64::from(self.resend_permille);
            faults.push(out_of_bounds(&owner, "resend_permille", value, "from 0 to 1000"));
        }
    }
}

impl BurstSettings {
    fn check(&self, faults: &mut Vec<PlanFault>) {
        if !(self.factor >= 0.0 && self.factor <= 1_000.0) {
            faults.push(out_of_bounds("a burst", "factor", self.factor, "from 0 to 1000"));
        }
    }
}

fn out_of_bounds(owner: &str, field: &'static str, value: f64, bounds: &'static str) -> PlanFault {
    PlanFault::OutOfBounds { owner: owner.to_owned(), field, value, bounds }
}
