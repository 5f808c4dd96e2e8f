//! Fencing tokens and the plan for the engines.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Plan, PlanAnswer};

/// The current fencing token, its holder and the plan.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Engines {
    fencing: FencingToken,
    holder: String,
    plan: Plan,
}

impl Engines {
    /// Issues the next token to `holder`.
    pub(crate) fn acquire(&mut self, holder: String) -> FencingToken {
        self.fencing = FencingToken(self.fencing.0 + 1);
        self.holder = holder;
        self.fencing
    }

    /// Replaces the plan if `fencing` is the newest token.
    pub(crate) fn put_plan(&mut self, fencing: FencingToken, plan: Plan) -> PlanAnswer {
        if fencing != self.fencing {
            return PlanAnswer::OldFencing { current: self.fencing };
        }
        self.plan = plan;
        PlanAnswer::Accepted
    }

    pub(crate) fn fencing(&self) -> FencingToken {
        self.fencing
    }

    pub(crate) fn holder(&self) -> &str {
        &self.holder
    }

    pub(crate) fn plan(&self) -> &Plan {
        &self.plan
    }
}
