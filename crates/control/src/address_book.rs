//! Where the control VMs listen, by the number of their node.
//!
//! Operators may number the nodes in the settings. Without numbers a node is named after its
//! address, so that a VM that joins or replaces another needs nothing but its own address.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use consensus::NodeId;

const PORT_BITS: u32 = 16;

/// The node that is named after `addr`; nothing for an address that is not of IPv4.
#[must_use]
pub fn node_named_after(addr: SocketAddr) -> Option<NodeId> {
    let IpAddr::V4(ip) = addr.ip() else { return None };
    Some(NodeId(u64::from(ip.to_bits()) << PORT_BITS | u64::from(addr.port())))
}

/// The numbered nodes; all others are named after their addresses.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    numbered: BTreeMap<NodeId, SocketAddr>,
}

impl AddressBook {
    /// Knows the nodes that the operators numbered.
    #[must_use]
    pub fn new(numbered: BTreeMap<NodeId, SocketAddr>) -> AddressBook {
        AddressBook { numbered }
    }

    /// Where a node listens; nothing for a number that stands for no address.
    #[must_use]
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.numbered.get(&node).copied().or_else(|| named_addr(node))
    }

    /// The numbered nodes.
    pub fn numbered(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.numbered.keys().copied()
    }
}

fn named_addr(node: NodeId) -> Option<SocketAddr> {
    let ip = u32::try_from(node.0 >> PORT_BITS).ok().filter(|it| *it > 0)?;
    Some(SocketAddr::from((Ipv4Addr::from_bits(ip), node.0 as u16)))
}
