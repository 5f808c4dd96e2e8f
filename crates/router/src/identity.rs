//! Second stage: authenticates the caller. A bearer token identifies a workspace; without one the
//! caller is anonymous.

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

/// The name of all callers without a token, for logs and for the routes that admit them. A workspace of the
/// tables may have the same name, so it identifies no caller.
pub const ANONYMOUS: &str = "anonymous";

/// The sender of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Caller {
    /// A workspace, identified by its token.
    #[display("{_0}")]
    Workspace(Rc<str>),
    /// A caller without a token.
    #[display("{ANONYMOUS}")]
    Anonymous,
}

impl Caller {
    /// The name of the workspace; `None` for a caller without a token.
    #[must_use]
    pub fn workspace(&self) -> Option<&str> {
        match self {
            Caller::Workspace(name) => Some(name),
            Caller::Anonymous => None,
        }
    }

    /// The name to show.
    #[must_use]
    pub fn name(&self) -> &str {
        self.workspace().unwrap_or(ANONYMOUS)
    }
}

/// One workspace of the workspaces file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: Rc<str>,
    /// Its share of a class is proportional to its weight.
    pub weight: u32,
    /// The maximum number of requests in flight, over all routers.
    pub in_flight_max: u32,
}

/// The workspaces by their tokens.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    by_token: HashMap<Secret, Rc<str>>,
    list: Vec<Workspace>,
}

impl Workspaces {
    /// Reads the workspaces file: one section for each workspace, with its token.
    ///
    /// # Errors
    /// If the file cannot be read; otherwise, all faults in it at once.
    pub fn read(path: &Path) -> anyhow::Result<Workspaces> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read {}: check the path in the settings", path.display()))?;
        Ok(Workspaces::parse(&text)?)
    }

    /// Parses the text of a workspaces file.
    ///
    /// # Errors
    /// All faults in it at once. No fault contains a token.
    pub fn parse(text: &str) -> Result<Workspaces, Faults> {
        let doc = Document::parse("workspaces", text)?;
        let (mut faults, mut all) = (Faults::default(), Workspaces::default());
        for section in doc.sections() {
            let mut reader = doc.read(section, &mut faults);
            let token: Secret = reader.required("token", "the workspace's bearer token");
            let name: Rc<str> = section.name.as_str().into();
            if &*name == ANONYMOUS {
                reader.fault(
                    "token",
                    "belongs to a section whose name is reserved for callers without a token",
                    "rename the section",
                );
            }
            let weight = reader.or_default("weight", "a whole number from 1", 1);
            let in_flight_max = reader.or_default("in_flight_max", "a whole number", u32::MAX);
            if all.by_token.insert(token, Rc::clone(&name)).is_some() {
                reader.fault(
                    "token",
                    "is also the token of another workspace",
                    "give each its own",
                );
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
    /// Its caller.
    pub caller: Caller,
}

/// Authenticates callers by their tokens.
#[derive(Debug, Clone)]
pub struct Authenticator {
    workspaces: Rc<Workspaces>,
}

impl Authenticator {
    /// Accepts the tokens of `workspaces`.
    #[must_use]
    pub fn new(workspaces: Rc<Workspaces>) -> Authenticator {
        Authenticator { workspaces }
    }

    /// Identifies the caller.
    ///
    /// # Errors
    /// If the token is unknown. Such a request is not served as anonymous, because its sender would
    /// not notice the mistake.
    pub fn authenticate(&self, arrival: Arrival) -> Result<Identified, Failure> {
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
