//! A deterministic model of an inference engine with continuous batching.
//!
//! The stand-in engine steps it in real time and the policy bench in simulated time. The crate
//! does no I/O and reads no clock: a step reports its modelled duration, and the caller lets that
//! time pass. The module [`answer`] gives the expected answer for each prompt, against which
//! clients verify what they receive.

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
