//! Size limits and timeouts of a connection.

use std::time::Duration;

use derive_more::FromStr;

/// Size limits and timeouts of a connection, for servers and clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a head, from the start line to the empty line.
    pub head_bytes: usize,
    /// Maximum number of header fields in a head. The codec itself accepts at most 96.
    pub header_count: usize,
    /// Maximum size of a body, summed over all of its chunks.
    pub body_bytes: usize,
    /// Maximum size of one chunk, which the codec buffers as a whole.
    pub chunk_bytes: usize,
    /// How long a client waits for a connection to be established.
    pub connect_timeout_ms: u64,
    /// How long receiving a head may take, from its first byte on a server and from the end of the
    /// request on a client.
    pub head_timeout_ms: u64,
    /// How long a client waits for more data between two reads of a body.
    pub idle_timeout_ms: u64,
    /// How long one write may take.
    pub write_timeout_ms: u64,
    /// How long a server waits for the whole body of a request.
    pub body_timeout_ms: u64,
    /// How a client handles a response that declares no length.
    pub unsized_body: UnsizedBody,
    /// How long a server keeps an idle connection open between two requests.
    pub keep_alive_ms: u64,
    /// How long a server that shuts down keeps idle connections open, for requests that are already
    /// in transit.
    pub closing_grace_ms: u64,
}

/// How a client handles a response that declares no length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum UnsizedBody {
    /// The response fails, since its end cannot be distinguished from a broken connection.
    Refused,
    /// The body ends when the server closes the connection; a reset is an error.
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
