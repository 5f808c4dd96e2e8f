//! The loaded models and the role of an engine; fencing numbers guard changes if so configured.

use std::collections::BTreeMap;

use serde::Serialize;

use super::api::{Order, OrderKind};
use crate::settings::Fencing;

/// The state that the orders applied so far have produced.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LoadedModels {
    /// The highest fencing number applied.
    pub(crate) fencing: u64,
    pub(crate) applied: u64,
    pub(crate) stale_applied: u64,
    pub(crate) role: String,
    /// Versions of the loaded models, by model; an empty map means that every model is served.
    pub(crate) models: BTreeMap<String, String>,
    /// Whether orders with an old fencing number are refused.
    #[serde(skip)]
    rule: Fencing,
}

/// The error for an order whose fencing number is lower than the highest one applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct StaleOrder {
    pub(crate) fencing: u64,
}

impl LoadedModels {
    pub(crate) fn new(models: &[String], rule: Fencing) -> LoadedModels {
        LoadedModels {
            fencing: 0,
            applied: 0,
            stale_applied: 0,
            role: String::new(),
            models: models.iter().map(|it| (it.clone(), String::new())).collect(),
            rule,
        }
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains_key(model)
    }

    pub(crate) fn check_fencing(&self, order: &Order) -> Result<(), StaleOrder> {
        if self.rule == Fencing::Enforced && order.fencing < self.fencing {
            return Err(StaleOrder { fencing: self.fencing });
        }
        Ok(())
    }

    pub(crate) fn apply(&mut self, order: Order) -> Result<(), StaleOrder> {
        self.check_fencing(&order)?;
        self.applied += 1;
        if order.fencing < self.fencing {
            self.stale_applied += 1;
        }
        self.fencing = self.fencing.max(order.fencing);
        match order.kind {
            OrderKind::Load => {
                self.models.insert(order.model, order.version);
            }
            OrderKind::Unload => {
                self.models.remove(&order.model);
            }
            OrderKind::Role => self.role = order.role,
        }
        Ok(())
    }
}
