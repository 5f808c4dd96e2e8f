//! A model of an inference engine that batches continuously, as plain data and steps.
//!
//! The stand-in engine steps it in real time and the policy bench in simulated time. The crate
//! does no I/O and reads no clock: a step reports how long it would have taken, and the caller
//! lets that time pass. Callers also check answers here, since [`answer`] gives the one right
//! answer for each prompt.

pub mod answer;
mod batch;
mod cache;
mod engine;
mod export;
mod kv;
mod prompt;
mod sequence;
mod settings;

pub use cache::{CacheEvent, CacheEventKind, CacheEvents, CacheSeq};
pub use engine::{Cancelled, EmittedTokens, Engine, EngineLoad, StepReport, SubmitError};
pub use export::KvExport;
pub use prompt::{prefix_blocks, prompt_text, token_count};
pub use settings::{EngineSettings, PausedKv, Priority, RequestId, RequestSpec};

pub use cache::PrefixBlock;
