//! Addresses that load may be sent to, which are loopback addresses only.

use std::{net::SocketAddr, str::FromStr};

use derive_more::{Display, Error};

/// A loopback address. Any other address is refused at parsing, so that later code does not need to
/// check it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0}")]
pub struct LoopbackAddr(SocketAddr);

/// The reason why an address is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AddrFault {
    /// The text is not an address.
    #[display("`{text}` is not an address; write an IP address and a port, as in 127.0.0.1:8080")]
    Malformed {
        /// The text.
        text: String,
    },
    /// The address is not a loopback address.
    #[display("{addr} is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only")]
    NotLoopback {
        /// The address.
        addr: SocketAddr,
    },
}

impl LoopbackAddr {
    /// Accepts `addr` if it is a loopback address.
    ///
    /// # Errors
    ///
    /// [`AddrFault::NotLoopback`] for every other address.
    pub fn checked(addr: SocketAddr) -> Result<LoopbackAddr, AddrFault> {
        if !addr.ip().is_loopback() {
            return Err(AddrFault::NotLoopback { addr });
        }
        Ok(LoopbackAddr(addr))
    }

    /// The address as a [`SocketAddr`].
    pub fn addr(self) -> SocketAddr {
        self.0
    }
}

impl FromStr for LoopbackAddr {
    type Err = AddrFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let addr = text.parse().map_err(|_| AddrFault::Malformed { text: text.to_owned() })?;
        LoopbackAddr::checked(addr)
    }
}
