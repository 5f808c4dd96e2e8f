//! Bounds on what one connection may hold and how long each phase may take.

use std::time::Duration;

use derive_more::FromStr;

/// Bounds of a connection, for servers and clients alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of a head, from the start line to the empty line.
    pub head_bytes: usize,
    /// The most header fields of a head; the codec itself stops at 96.
    pub header_count: usize,
    /// The most bytes of a body, over all of its chunks.
    pub body_bytes: usize,
    /// The most bytes of one chunk, which the codec holds whole.
    pub chunk_bytes: usize,
    /// How long a client waits for a connection to open.
    pub connect_timeout_ms: u64,
    /// How long a whole head may take, from its first byte on a server and from the end of the
    /// request on a client.
    pub head_timeout_ms: u64,
    /// How long a body may pause between two reads.
    pub idle_timeout_ms: u64,
    /// How long one write may wait for the peer.
    pub write_timeout_ms: u64,
    /// How long a server waits for the whole body of a request.
    pub body_timeout_ms: u64,
    /// What a client does with an answer that declares no length.
    pub unsized_body: UnsizedBody,
    /// How long a server keeps a connection open between two requests.
    pub keep_alive_ms: u64,
    /// How long a stopping server waits for a request that is on its way to an idle connection.
    pub closing_grace_ms: u64,
}

/// What a client does with an answer that declares no length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum UnsizedBody {
    /// It is refused, since its end cannot be told from a broken connection.
    Refused,
    /// It ends with its connection, unless that is reset.
    UntilClose,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 << 10,
            header_count: 64,
            body_bytes: 4 << 20,
            chunk_bytes: 256 << 10,
            connect_timeout_ms: 1_000,
            head_timeout_ms: 30_000,
            idle_timeout_ms: 30_000,
            write_timeout_ms: 30_000,
            body_timeout_ms: 30_000,
            unsized_body: UnsizedBody::Refused,
            keep_alive_ms: 60_000,
            closing_grace_ms: 500,
        }
    }
}

impl Limits {
    pub(crate) fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    pub(crate) fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    pub(crate) fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    pub(crate) fn keep_alive(&self) -> Duration {
        Duration::from_millis(self.keep_alive_ms)
    }

    pub(crate) fn closing_grace(&self) -> Duration {
        Duration::from_millis(self.closing_grace_ms)
    }
}
