//! Reads the complete list, page by page.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use derive_more::{Display, Error, From};
use http::StatusCode;
use httpio::{
    Limits,
    client::{ClientError, Pool, PoolSettings, Request},
};
use monoio::time;
use telemetry::{TaskPanicked, Throttle};

use crate::{Directory, ListPage, ListedVm, MalformedList};

/// Limits the number of pages, because a page that refers to itself as the next one would otherwise
/// be read forever.
const PAGES_MAX: usize = 200;

/// The connect, head and idle timeouts of reading one page.
const PAGE_TIMEOUT_MS: u64 = 1_000;

/// The pause before a page that the platform has refused because of its rate limit is asked for again.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// How often pages of one read are asked for again: the rate of a few seconds is shared by all processes
/// that start together.
const REFUSALS_MAX: usize = 20;

/// The time between two log lines about entries that cannot be read.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Whether a read goes on after the platform has refused a page because of its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnRefusal {
    /// It goes on with that page after a pause, as others wait for the list.
    Continue,
    /// It fails at once, and leaves the rate to others.
    Fail,
}

/// Why the list was not read.
#[derive(Debug, Display, Error, From)]
pub enum ReadError {
    /// An HTTP exchange failed.
    Exchange(ClientError),
    /// The platform rejected a request, for example because of its rate limit.
    #[display("the platform rejected the request for the list with status {status}")]
    Refused {
        /// The status of the response.
        status: StatusCode,
    },
    /// A page could not be parsed.
    Page(MalformedList),
    /// The read panicked.
    Panicked(TaskPanicked),
    /// The list has more than `PAGES_MAX` pages.
    #[display("the list has more than {PAGES_MAX} pages")]
    TooManyPages,
}

/// Reads the list over pooled connections.
pub struct Reader {
    addr: SocketAddr,
    directory: Rc<dyn Directory>,
    pool: Pool,
    clock: Rc<dyn Clock>,
    malformed: Throttle,
}

impl Reader {
    /// Creates a reader of the list at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, directory: Rc<dyn Directory>, clock: Rc<dyn Clock>) -> Reader {
        let limits = Limits {
            connect_timeout_ms: PAGE_TIMEOUT_MS,
            head_timeout_ms: PAGE_TIMEOUT_MS,
            idle_timeout_ms: PAGE_TIMEOUT_MS,
            ..Limits::default()
        };
        let settings = PoolSettings { limits, ..PoolSettings::default() };
        let pool = Pool::new(settings, Rc::clone(&clock));
        let malformed = Throttle::new(MALFORMED_LOG_INTERVAL);
        Reader { addr, directory, pool, clock, malformed }
    }

    /// The address from which the list is read.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The format of the list.
    #[must_use]
    pub fn directory(&self) -> &dyn Directory {
        &*self.directory
    }

    /// Reads all pages.
    ///
    /// # Errors
    /// When a page cannot be read. The list is then discarded, because an incomplete list does not
    /// show which servers are missing.
    pub async fn read(&self, on_refusal: OnRefusal) -> Result<Vec<ListedVm>, ReadError> {
        // The loops that read the list go on after a panic, as after any other failed read.
        telemetry::contain("list_read", self.addr, self.read_pages(on_refusal)).await?
    }

    async fn read_pages(&self, on_refusal: OnRefusal) -> Result<Vec<ListedVm>, ReadError> {
        let (mut vms, mut token) = (Vec::new(), None);
        let mut refusals_left = match on_refusal {
            OnRefusal::Continue => REFUSALS_MAX,
            OnRefusal::Fail => 0,
        };
        for _ in 0..PAGES_MAX {
            let page = self.read_page_patiently(token.as_deref(), &mut refusals_left).await?;
            vms.extend(page.vms);
            token = page.next;
            if token.is_none() {
                return Ok(vms);
            }
        }
        Err(ReadError::TooManyPages)
    }

    async fn read_page_patiently(
        &self,
        token: Option<&str>,
        refusals_left: &mut usize,
    ) -> Result<ListPage, ReadError> {
        loop {
            let page = self.read_page(token).await;
            let is_refused =
                matches!(page, Err(ReadError::Refused { status: StatusCode::TOO_MANY_REQUESTS }));
            if !is_refused || *refusals_left == 0 {
                return page;
            }
            *refusals_left -= 1;
            time::sleep(REFUSED_PAUSE).await;
        }
    }

    async fn read_page(&self, token: Option<&str>) -> Result<ListPage, ReadError> {
        let request = Request { uri: self.directory.page_uri(token), ..Request::default() };
        let response = self.pool.send(self.addr, request).await?;
        let status = response.head.status;
        if !status.is_success() {
            return Err(ReadError::Refused { status });
        }
        let page = self.directory.read_page(&response.body.collect().await?)?;
        if page.malformed_entries > 0 {
            self.log_malformed(&page);
        }
        Ok(page)
    }

    fn log_malformed(&self, page: &ListPage) {
        if let Some(suppressed) = self.malformed.record(self.clock.now()) {
            tracing::warn!(
                event = "list_entries_malformed",
                malformed = page.malformed_entries,
                read = page.vms.len(),
                suppressed,
            );
        }
    }
}
