//! The order service: each call is executed once and counted, and repeats are not caught.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method,
    server::{Reply, Request},
};
use monoio::time;
use serde::{Deserialize, Serialize};

use crate::{faults::FaultBoard, front::Service, reply, settings::OrderSettings, stats::Stats};

/// Header that names an order across resends.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What an executed order's caller is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Receipt {
    order: u64,
    key: String,
    count: u64,
}

/// How often orders of one key were executed.
#[derive(Debug, Serialize)]
struct Count {
    count: u64,
}

#[derive(Default)]
struct Ledger {
    counts: HashMap<String, u64>,
    started: u64,
    executions: u64,
    repeated_executions: u64,
}

impl Ledger {
    fn execute(&mut self, key: &str) -> Receipt {
        let count = self.counts.entry(key.to_owned()).or_default();
        *count += 1;
        self.executions += 1;
        // Orders without a key can't be told from each other.
        if *count > 1 && !key.is_empty() {
            self.repeated_executions += 1;
        }
        Receipt { order: self.executions, key: key.to_owned(), count: *count }
    }
}

pub(crate) struct Orders {
    settings: OrderSettings,
    board: Rc<FaultBoard>,
    ledger: RefCell<Ledger>,
}

impl Orders {
    pub(crate) fn new(settings: OrderSettings, board: Rc<FaultBoard>) -> Orders {
        Orders { settings, board, ledger: RefCell::default() }
    }

    /// Executes the order even if its caller goes away meanwhile.
    async fn execute(&self, request: Request) -> Reply {
        self.ledger.borrow_mut().started += 1;
        let key = request.header(IDEMPOTENCY_KEY).unwrap_or_default();
        if self.board.crashes_on(&String::from_utf8_lossy(&request.body)) {
            self.board.crash();
            return Reply::abort();
        }
        let slowdown_permille = self.board.faults().slowdown_permille;
        time::sleep(self.settings.work_time(slowdown_permille)).await;
        let receipt = self.ledger.borrow_mut().execute(key);
        tracing::info!(event = "order-executed", key = receipt.key, count = receipt.count);
        if self.board.take_loss() {
            return Reply::abort();
        }
        reply::ok(&receipt)
    }

    fn count(&self, request: &Request) -> Reply {
        let key = reply::query(request, "key").unwrap_or_default();
        let count = self.ledger.borrow().counts.get(key).copied().unwrap_or_default();
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
        let ledger = self.ledger.borrow();
        Stats {
            requests_started: ledger.started,
            requests_finished: ledger.executions,
            executions: ledger.executions,
            repeated_executions: ledger.repeated_executions,
            ..Stats::default()
        }
    }
}
