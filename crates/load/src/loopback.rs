//! Addresses that load may be sent to: loopback only.

use std::{net::SocketAddr, str::FromStr};

use derive_more::{Display, Error};

/// An address on this machine. Load against any other address is refused when it is parsed, so
/// that no later code has to check it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0}")]
pub struct LoopbackAddr(SocketAddr);

/// An address that load may not be sent to.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AddrFault {
    /// The text is no address.
    #[display("`{text}` is no address; write an IP number and a port, as in 127.0.0.1:8080")]
    Malformed {
        /// The text.
        text: String,
    },
    /// The address lies outside of this machine.
    #[display("{addr} is not a loopback address; load is sent to 127.0.0.0/8 or ::1 only")]
    NotLoopback {
        /// The address.
        addr: SocketAddr,
    },
}

impl LoopbackAddr {
    /// Takes `addr` if it is a loopback address.
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

    /// The address as the standard library has it.
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
