//! Fourth stage: how many requests of one workspace and class may be in flight here.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use http::StatusCode;

use crate::{
    outcome::{Code, Failure},
    routing::Routed,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

type Counts = RefCell<HashMap<Key, u32>>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    workspace: String,
    class: String,
}

/// Counts the requests in flight.
#[derive(Debug, Clone, Default)]
pub struct ClassLimits {
    counts: Rc<Counts>,
}

/// Held while a request is in flight.
#[derive(Debug)]
pub struct Permit {
    counts: Rc<Counts>,
    key: Key,
}

impl ClassLimits {
    /// Admits a request below the limit of its workspace and class.
    ///
    /// # Errors
    /// When the limit is reached.
    pub fn apply(&self, routed: &Routed) -> Result<Permit, Failure> {
        let key =
            Key { workspace: routed.caller.name().to_owned(), class: routed.route().class.clone() };
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(key.clone()).or_default();
        if *count >= routed.route().workspace_in_flight_max {
            return Err(Failure::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                Code::WorkspaceLimit,
                "the workspace has too many requests of this class in flight; wait for some",
            )
            .retry_after(RETRY_AFTER));
        }
        *count += 1;
        Ok(Permit { counts: Rc::clone(&self.counts), key })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
