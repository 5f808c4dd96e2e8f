//! The memory of the VM, divided among what the router holds.
//!
//! A quarter is for requests, that is their bodies, large heads and the state of those in flight, and a quarter for
//! answers. The rest is for the program with its tables, and for connections with what has arrived on them unread.

use std::time::Duration;

use httpio::{
    budget::{BudgetSize, ByteBudget},
    server::{ReceiveBuffer, WAITING_CONNECTIONS_MAX},
};
use monoio::time;
use prometheus::Registry;
use telemetry::register_gauge;

/// The part of the VM's memory that is for the bodies of requests, and that for answers: one in so many.
const BODIES_PART: usize = 4;
/// The part of a budget that is for small messages only: one in so many.
const SMALL_PART: usize = 8;
const MEBIBYTE: usize = 1 << 20;
/// What the program takes with its tables, its connections to servers and control VMs, and streams.
const PROGRAM_BYTES: usize = 12 * MEBIBYTE;
/// What an open connection takes beside what is charged to a budget and beside its receive buffer: its task, its read
/// buffer, the uncharged part of a head, and what the allocator keeps back.
const CONNECTION_BYTES: usize = 9 << 10;
/// The connections that a router accepts however little memory there is.
const CONNECTIONS_MIN: usize = 256;
/// The state of a request in flight, with its connection to a backend server.
pub(crate) const REQUEST_BYTES: usize = 40 << 10;
/// The receive buffer of a connection is as large as the memory allows within these bounds. A small one slows down
/// large bodies on long paths, as one buffer can be sent a round trip.
const RECEIVE_BYTES_MIN: usize = 8 << 10;
const RECEIVE_BYTES_MAX: usize = 64 << 10;
/// The interval at which refusals for lack of memory are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The number of open connections for which there is room in the memory of a VM.
pub(crate) fn connections_fitting(memory_mb: usize) -> usize {
    let waiting_bytes = usize::from(WAITING_CONNECTIONS_MAX) * RECEIVE_BYTES_MIN;
    let left = connection_bytes(memory_mb).saturating_sub(waiting_bytes);
    (left / (CONNECTION_BYTES + RECEIVE_BYTES_MIN)).max(CONNECTIONS_MIN)
}

/// The receive buffer of each of so many connections.
pub(crate) fn receive_buffer(memory_mb: usize, connections: usize) -> ReceiveBuffer {
    let connections = connections + usize::from(WAITING_CONNECTIONS_MAX);
    let fitting = connection_bytes(memory_mb) / connections;
    let bytes = fitting.saturating_sub(CONNECTION_BYTES);
    ReceiveBuffer(bytes.clamp(RECEIVE_BYTES_MIN, RECEIVE_BYTES_MAX))
}

/// The memory for connections.
fn connection_bytes(memory_mb: usize) -> usize {
    let bytes = memory_mb.saturating_mul(MEBIBYTE);
    (bytes - 2 * (bytes / BODIES_PART)).saturating_sub(PROGRAM_BYTES)
}

/// The largest bodies that a router accepts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargestBodies {
    pub(crate) request_bytes: usize,
    pub(crate) answer_bytes: usize,
}

/// The budgets of a router; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Memory {
    /// For the bodies of requests, of callers and of other routers.
    pub(crate) requests: ByteBudget,
    /// For the answers of backend servers and of other routers.
    pub(crate) answers: ByteBudget,
}

impl Memory {
    /// Divides the memory of a VM. However little that is, one body of the largest size fits.
    pub(crate) fn divide(memory_mb: usize, largest: LargestBodies) -> Memory {
        let part = memory_mb.saturating_mul(MEBIBYTE) / BODIES_PART;
        // One answer at a time may exceed the budget.
        let answers = part.saturating_sub(largest.answer_bytes);
        Memory {
            requests: budget(part, largest.request_bytes),
            answers: budget(answers, largest.answer_bytes),
        }
    }

    /// Exports the use of the budgets.
    ///
    /// # Errors
    /// If the registry already contains one of the metrics.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        let (requests, answers) = (self.requests.clone(), self.answers.clone());
        let max = signed(requests.size().bytes_max);
        let gauge = ("router_request_bytes_max", "Memory that the bodies of requests may hold.");
        register_gauge(registry, gauge, move || max)?;
        let max = signed(answers.size().bytes_max);
        let gauge = ("router_answer_bytes_max", "Memory that answers may hold.");
        register_gauge(registry, gauge, move || max)?;
        let gauge = ("router_answer_bytes", "Memory that answers hold.");
        register_gauge(registry, gauge, move || signed(answers.usage().held_bytes))?;
        let counted = requests.clone();
        let gauge = ("router_request_bytes", "Memory that the bodies of requests hold.");
        register_gauge(registry, gauge, move || signed(counted.usage().held_bytes))?;
        let gauge = ("router_memory_refusals", "Requests refused for lack of memory so far.");
        register_gauge(registry, gauge, move || signed(requests.usage().refused as usize))
    }

    /// Logs refusals for lack of memory, at most one line an interval.
    pub(crate) async fn log_refusals(self) {
        let mut logged = 0;
        loop {
            time::sleep(LOG_INTERVAL).await;
            let (usage, size) = (self.requests.usage(), self.requests.size());
            if usage.refused > logged {
                tracing::warn!(
                    event = "memory_short",
                    refused = usage.refused - logged,
                    request_bytes = usage.held_bytes,
                    request_bytes_max = size.bytes_max,
                    answer_bytes = self.answers.usage().held_bytes,
                    remedy = "more routers, or VMs with more memory",
                );
                logged = usage.refused;
            }
        }
    }
}

fn budget(part: usize, largest_bytes: usize) -> ByteBudget {
    let small_bytes = part / SMALL_PART;
    let bytes_max = part.max(largest_bytes.saturating_add(small_bytes));
    ByteBudget::new(BudgetSize { bytes_max, small_bytes })
}

fn signed(count: usize) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
