//! Second stage: who asks. A bearer token names a workspace; without one the caller is anonymous.

use std::{collections::HashMap, path::Path, rc::Rc};

use anyhow::Context;
use derive_more::Display;
use http::{StatusCode, header};
use ini_settings::{Document, Faults};
use telemetry::Secret;

use crate::{
    arrival::Arrival,
    outcome::{Code, Failure},
};

/// The name that stands for all callers without a token.
pub const ANONYMOUS: &str = "anonymous";

/// Who asks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Caller {
    /// A workspace that is known by its token.
    #[display("{_0}")]
    Workspace(Rc<str>),
    /// Somebody without a token.
    #[display("{ANONYMOUS}")]
    Anonymous,
}

impl Caller {
    /// The name that limits and shares go by.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Caller::Workspace(name) => name,
            Caller::Anonymous => ANONYMOUS,
        }
    }
}

/// One workspace of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: Rc<str>,
    /// Its share of a class grows with its weight.
    pub weight: u32,
    /// The most requests in flight over all routers.
    pub in_flight_max: u32,
}

/// The workspaces by their tokens.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    by_token: HashMap<Secret, Rc<str>>,
    list: Vec<Workspace>,
}

impl Workspaces {
    /// Reads the file of workspaces: a section each, with its token.
    ///
    /// # Errors
    /// A file that cannot be read, and every fault in it.
    pub fn read(path: &Path) -> anyhow::Result<Workspaces> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read {}: check the path in the settings", path.display()))?;
        Ok(Workspaces::parse(&text)?)
    }

    /// Reads the text of such a file.
    ///
    /// # Errors
    /// Every fault in it. No fault holds a token.
    pub fn parse(text: &str) -> Result<Workspaces, Faults> {
        let doc = Document::parse("workspaces", text)?;
        let (mut faults, mut all) = (Faults::default(), Workspaces::default());
        for section in doc.sections() {
            let mut reader = doc.read(section, &mut faults);
            let token: Secret = reader.required("token", "the workspace's bearer token");
            let name: Rc<str> = section.name.as_str().into();
            if &*name == ANONYMOUS {
                reader.fault("token", "stands for callers without a token", "rename the section");
            }
            let weight = reader.or_default("weight", "a whole number from 1", 1);
            let in_flight_max = reader.or_default("in_flight_max", "a whole number", u32::MAX);
            if all.by_token.insert(token, Rc::clone(&name)).is_some() {
                reader.fault("token", "is another workspace's too", "give each its own");
            }
            reader.finish();
            all.list.push(Workspace { name, weight, in_flight_max });
        }
        faults.into_result(all)
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.list.iter()
    }
}

/// A request of a known or anonymous caller.
#[derive(Debug, Clone)]
pub struct Identified {
    /// The request.
    pub arrival: Arrival,
    /// Who asks.
    pub caller: Caller,
}

/// Finds out who asks.
#[derive(Debug, Clone)]
pub struct Identity {
    workspaces: Rc<Workspaces>,
}

impl Identity {
    /// Knows the callers of `workspaces`.
    #[must_use]
    pub fn new(workspaces: Rc<Workspaces>) -> Identity {
        Identity { workspaces }
    }

    /// Names the caller.
    ///
    /// # Errors
    /// A token that is not known; it is not taken for a missing one, because its owner would be
    /// served as anybody without noticing.
    pub fn apply(&self, arrival: Arrival) -> Result<Identified, Failure> {
        let Some(value) = arrival.request.headers.get(header::AUTHORIZATION) else {
            return Ok(Identified { arrival, caller: Caller::Anonymous });
        };
        let token = value.to_str().ok().and_then(|it| it.strip_prefix("Bearer "));
        let token = token.map(|it| Secret::from(it.trim().to_owned()));
        match token.and_then(|it| self.workspaces.by_token.get(&it)) {
            Some(name) => {
                let caller = Caller::Workspace(Rc::clone(name));
                Ok(Identified { arrival, caller })
            }
            None => Err(Failure::not_run(
                StatusCode::UNAUTHORIZED,
                Code::UnknownToken,
                "send `authorization: Bearer` with the token of a workspace, or leave it out",
            )),
        }
    }
}
