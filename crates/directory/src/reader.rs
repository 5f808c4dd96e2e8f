//! Reads the whole list, page by page.

use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use derive_more::{Display, Error, From};
use http::StatusCode;
use httpio::{
    Limits,
    client::{ClientError, Pool, PoolSettings, Request},
};

use crate::{Directory, ListPage, ListedVm, MalformedList};

/// More pages than any list has; one that names itself as the next would go on for ever.
const PAGES_MAX: usize = 200;

/// How long one page may take.
const PAGE_TIMEOUT_MS: u64 = 1_000;

/// Why the list was not read.
#[derive(Debug, Display, Error, From)]
pub enum ReadError {
    /// The exchange failed.
    Exchange(ClientError),
    /// The platform refused it, as beyond its rate.
    #[display("the list was answered {status}")]
    Refused {
        /// The status.
        status: StatusCode,
    },
    /// A page cannot be read.
    Page(MalformedList),
    /// The pages do not end.
    #[display("the list has over {PAGES_MAX} pages")]
    TooManyPages,
}

/// Reads the list over kept connections.
pub struct Reader {
    addr: SocketAddr,
    directory: Rc<dyn Directory>,
    pool: Pool,
}

impl Reader {
    /// A reader of the list at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, directory: Rc<dyn Directory>, clock: Rc<dyn Clock>) -> Reader {
        let limits = Limits {
            connect_timeout_ms: PAGE_TIMEOUT_MS,
            head_timeout_ms: PAGE_TIMEOUT_MS,
            idle_timeout_ms: PAGE_TIMEOUT_MS,
            ..Limits::default()
        };
        let settings = PoolSettings { limits, ..PoolSettings::default() };
        Reader { addr, directory, pool: Pool::new(settings, clock) }
    }

    /// The address of the list.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The notation of the list.
    #[must_use]
    pub fn directory(&self) -> &dyn Directory {
        &*self.directory
    }

    /// Reads all pages.
    ///
    /// # Errors
    /// When one of them cannot be had; the others say nothing about who is missing then.
    pub async fn read(&self) -> Result<Vec<ListedVm>, ReadError> {
        let (mut vms, mut token) = (Vec::new(), None);
        for _ in 0..PAGES_MAX {
            let page = self.page(token.as_deref()).await?;
            vms.extend(page.vms);
            token = page.next;
            if token.is_none() {
                return Ok(vms);
            }
        }
        Err(ReadError::TooManyPages)
    }

    async fn page(&self, token: Option<&str>) -> Result<ListPage, ReadError> {
        let request = Request { uri: self.directory.page_uri(token), ..Request::default() };
        let response = self.pool.send(self.addr, request).await?;
        let status = response.head.status;
        if !status.is_success() {
            return Err(ReadError::Refused { status });
        }
        Ok(self.directory.read_page(&response.body.collect().await?)?)
    }
}
