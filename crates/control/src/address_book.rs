//! The addresses of the control VMs by node id.
//!
//! Operators may number the nodes in the settings. Without numbers the node id is derived from the
//! address, so that a VM that joins or replaces another needs only its own address.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use consensus::NodeId;

const PORT_BITS: u32 = 16;

/// The node id derived from `addr`, or `None` if `addr` is not an IPv4 address.
#[must_use]
pub fn node_id_of(addr: SocketAddr) -> Option<NodeId> {
    let IpAddr::V4(ip) = addr.ip() else { return None };
    Some(NodeId(u64::from(ip.to_bits()) << PORT_BITS | u64::from(addr.port())))
}

/// The addresses of numbered nodes; the ids of all others are derived from their addresses.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    numbered: BTreeMap<NodeId, SocketAddr>,
}

impl AddressBook {
    /// Creates an address book with the nodes that the operators numbered.
    #[must_use]
    pub fn new(numbered: BTreeMap<NodeId, SocketAddr>) -> AddressBook {
        AddressBook { numbered }
    }

    /// The address at which a node listens, or `None` if its id stands for no address.
    #[must_use]
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.numbered.get(&node).copied().or_else(|| addr_of(node))
    }

    /// The numbered nodes.
    pub fn numbered(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.numbered.keys().copied()
    }
}

fn addr_of(node: NodeId) -> Option<SocketAddr> {
    let ip = u32::try_from(node.0 >> PORT_BITS).ok().filter(|it| *it > 0)?;
    Some(SocketAddr::from((Ipv4Addr::from_bits(ip), node.0 as u16)))
}
