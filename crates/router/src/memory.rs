//! The memory of the VM, divided among what the router holds whole.
//!
//! A quarter is for the bodies and large heads of requests and a quarter for answers. The rest is for the
//! program with its tables, and for connections, whose number is bounded by it.

use std::time::Duration;

use httpio::budget::{BudgetSize, ByteBudget};
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
/// What an open connection is assumed to take beside what is charged to a budget: its task, its read buffer,
/// the uncharged part of a head, and what the allocator keeps back.
const CONNECTION_BYTES: usize = 10 << 10;
/// The connections that a router accepts however little memory there is.
const CONNECTIONS_MIN: usize = 256;
/// The interval at which refusals for lack of memory are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The number of open connections for which there is room in the memory of a VM.
pub(crate) fn connections_fitting(memory_mb: usize) -> usize {
    let bytes = memory_mb.saturating_mul(MEBIBYTE);
    let left = (bytes - 2 * (bytes / BODIES_PART)).saturating_sub(PROGRAM_BYTES);
    (left / CONNECTION_BYTES).max(CONNECTIONS_MIN)
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
