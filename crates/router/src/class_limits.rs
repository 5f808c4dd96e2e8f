//! Fourth stage: limits the requests of one workspace and class in flight at this router.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use http::StatusCode;

use crate::{
    identity::Caller,
    outcome::{Code, Failure},
    routing::Routed,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

type Counts = RefCell<HashMap<Key, u32>>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    caller: Caller,
    class: String,
}

/// Counts the requests in flight by workspace and class.
#[derive(Debug, Clone, Default)]
pub struct ClassLimits {
    counts: Rc<Counts>,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct Permit {
    counts: Rc<Counts>,
    key: Key,
}

impl ClassLimits {
    /// Admits a request if its workspace and class are below their limit.
    ///
    /// # Errors
    /// If the limit is reached.
    pub fn apply(&self, routed: &Routed) -> Result<Permit, Failure> {
        let key = Key { caller: routed.caller.clone(), class: routed.route().class.clone() };
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
