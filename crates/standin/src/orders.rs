//! The order service: executes and counts every call, without deduplicating repeats.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method,
    server::{Reply, Request},
};
use monoio::time;
use serde::{Deserialize, Serialize};

use crate::{
    faults::FaultInjector, handler::Service, reply, settings::OrderSettings, stats::Stats,
};

/// Header that identifies an order across retries.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The reply to an executed order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Receipt {
    order: u64,
    key: String,
    count: u64,
}

/// The number of executed orders with one key.
#[derive(Debug, Serialize)]
struct Count {
    count: u64,
}

#[derive(Default)]
struct OrderCounts {
    by_key: HashMap<String, u64>,
    started: u64,
    executions: u64,
    repeated_executions: u64,
}

impl OrderCounts {
    fn execute(&mut self, key: &str) -> Receipt {
        let count = self.by_key.entry(key.to_owned()).or_default();
        *count += 1;
        self.executions += 1;
        // Orders without a key cannot be identified as repeats.
        if *count > 1 && !key.is_empty() {
            self.repeated_executions += 1;
        }
        Receipt { order: self.executions, key: key.to_owned(), count: *count }
    }
}

pub(crate) struct Orders {
    settings: OrderSettings,
    injector: Rc<FaultInjector>,
    counts: RefCell<OrderCounts>,
}

impl Orders {
    pub(crate) fn new(settings: OrderSettings, injector: Rc<FaultInjector>) -> Orders {
        Orders { settings, injector, counts: RefCell::default() }
    }

    /// Executes the order, also if its caller disconnects meanwhile.
    async fn execute(&self, request: Request) -> Reply {
        self.counts.borrow_mut().started += 1;
        let key = request.header(IDEMPOTENCY_KEY).unwrap_or_default();
        if self.injector.matches_crash_marker(&String::from_utf8_lossy(&request.body)) {
            self.injector.crash();
            return Reply::abort();
        }
        let slowdown_permille = self.injector.faults().slowdown_permille;
        time::sleep(self.settings.work_time(slowdown_permille)).await;
        let receipt = self.counts.borrow_mut().execute(key);
        tracing::info!(event = "order-executed", key = receipt.key, count = receipt.count);
        if self.injector.take_lost_answer() {
            return Reply::abort();
        }
        reply::ok(&receipt)
    }

    fn count(&self, request: &Request) -> Reply {
        let key = reply::query_value(request, "key").unwrap_or_default();
        let count = self.counts.borrow().by_key.get(key).copied().unwrap_or_default();
        reply::ok(&Count { count })
    }
}

impl Service for Orders {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        async move {
            match (&request.method, request.uri.path()) {
                (&Method::POST, "/orders") => self.execute(request).await,
                (&Method::GET, "/orders/count") => self.count(&request),
                _ => reply::not_found(),
            }
        }
        .boxed_local()
    }

    fn stats(&self) -> Stats {
        let counts = self.counts.borrow();
        Stats {
            requests_started: counts.started,
            requests_finished: counts.executions,
            executions: counts.executions,
            repeated_executions: counts.repeated_executions,
            ..Stats::default()
        }
    }
}
