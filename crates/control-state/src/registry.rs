//! The registry of control nodes, for operators and for nodes that start.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ControlNode;

/// The last registered address and location of each control node.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Registry {
    nodes: BTreeMap<u64, ControlNode>,
}

impl Registry {
    pub(crate) fn register(&mut self, node: ControlNode) {
        self.nodes.insert(node.node, node);
    }

    pub(crate) fn deregister(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = &ControlNode> {
        self.nodes.values()
    }
}
