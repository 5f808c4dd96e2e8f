//! The reader returns a complete list or an error, never an incomplete list.

use std::{cell::Cell, rc::Rc};

use clock::SystemClock;
use directory::{
    Absence, Directory, ListPage, MalformedList, OnRefusal, ReadError, Reader, VmList,
};
use futures::future::{FutureExt, LocalBoxFuture};
use http::Uri;
use httpio::{
    StatusCode,
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::{LegacyDriver, RuntimeBuilder};

const ENTRY: &str = r#"{"addr":"10.0.0.1:80","pool":"svc","incarnation":1,"state":"live"}"#;

/// A list of `last` pages with one entry each, which refer to the next page.
struct Paged {
    last: usize,
}

impl Directory for Paged {
    fn page_uri(&self, token: Option<&str>) -> Uri {
        format!("/{}", token.unwrap_or("1")).parse().expect("a valid path")
    }

    fn read_page(&self, body: &[u8]) -> Result<ListPage, MalformedList> {
        let number: usize = std::str::from_utf8(body).expect("text").parse().expect("a number");
        let one = VmList.read_page(format!("[{ENTRY}]").as_bytes())?;
        let next = (number < self.last).then(|| (number + 1).to_string());
        Ok(ListPage { next, ..one })
    }

    fn absence(&self) -> Absence {
        Absence::Removed
    }
}

fn read(
    last: usize,
    rejected: std::ops::Range<usize>,
    on_refusal: OnRefusal,
) -> (Result<usize, ReadError>, usize) {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("a runtime");
    runtime.block_on(async move {
        let listener = server::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let pages = Rc::new(Cell::new(0));
        let count = Rc::clone(&pages);
        let handler = move |req: Request| -> LocalBoxFuture<'static, Reply> {
            count.set(count.get() + 1);
            let status = match rejected.contains(&count.get()) {
                true => StatusCode::TOO_MANY_REQUESTS,
                false => StatusCode::OK,
            };
            let body = req.uri.path().trim_start_matches('/').to_owned();
            async move { Reply::typed(status, "text/plain", body.into()) }.boxed_local()
        };
        let (settings, stop) = (ServerSettings::default(), StopSignals::default());
        monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
        let reader = Reader::new(addr, Rc::new(Paged { last }), Rc::new(SystemClock));
        (reader.read(on_refusal).await.map(|it| it.len()), pages.get())
    })
}

#[test]
fn all_pages() {
    let (list, pages) = read(3, 0..0, OnRefusal::Fail);
    assert_eq!((list.expect("a complete list"), pages), (3, 3));
}

#[test]
fn rejected_page() {
    let (list, _) = read(3, 2..usize::MAX, OnRefusal::Fail);
    assert!(matches!(list, Err(ReadError::Refused { .. })), "an incomplete list must be an error");
}

/// Guards against a list of many pages that is never read whole, because each page that is refused for the
/// platform's rate limit costs all pages before it.
#[test]
fn refused_pages_awaited() {
    for pages in [30, 100] {
        let (list, calls) = read(pages, 10..14, OnRefusal::Continue);
        assert_eq!((list.expect("a complete list"), calls), (pages, pages + 4));
    }
    let (list, _) = read(3, 2..usize::MAX, OnRefusal::Continue);
    assert!(matches!(list, Err(ReadError::Refused { .. })), "an incomplete list must be an error");
}

#[test]
fn endless_pages() {
    let (list, _) = read(usize::MAX, 0..0, OnRefusal::Fail);
    assert!(matches!(list, Err(ReadError::TooManyPages)));
}
