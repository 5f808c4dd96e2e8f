//! Many streams held open at once.

use std::{cell::Cell, rc::Rc, time::Duration};

use clock::Clock;
use derive_more::{Display, Error};
use engine_model::answer;
use futures::{channel::oneshot, future::select, pin_mut};
use httpio::client::{Body, ClientError};
use monoio::time;

use crate::{
    caller::{Call, Caller},
    loopback::LoopbackAddr,
};

/// Answers of at least this many tokens outlast a measurement.
const TOKENS_MIN: u32 = 600;

/// More tokens than the longest answer of a stand-in has.
const TOKENS_MAX: u32 = 100_000;

/// How often the count of open streams is looked at while they are opened.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Not all streams were open in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{open} of {wanted} streams were open in time; raise the limits of router and engine")]
pub struct StreamsMissing {
    /// Streams that had their first bytes.
    pub open: usize,
    /// Streams wanted.
    pub wanted: usize,
}

/// Streams whose tokens are read as they come. They are closed when this is dropped.
pub struct OpenStreams {
    /// A reader stops when the sender of its channel is dropped.
    _readers: Vec<oneshot::Sender<()>>,
}

impl OpenStreams {
    /// Opens a stream for each of `calls` and waits until all have their first bytes.
    ///
    /// # Errors
    ///
    /// [`StreamsMissing`] if that takes longer than `timeout`.
    pub async fn open(
        caller: &Caller,
        router: LoopbackAddr,
        calls: Vec<Call>,
        timeout: Duration,
        clock: &dyn Clock,
    ) -> Result<OpenStreams, StreamsMissing> {
        let wanted = calls.len();
        let open = Rc::new(Cell::new(0));
        let readers = calls.into_iter().map(|it| start(caller, router, it, &open));
        let streams = OpenStreams { _readers: readers.collect() };
        let deadline = clock.now() + timeout;
        while open.get() < wanted && clock.now() < deadline {
            time::sleep(POLL_INTERVAL).await;
        }
        match open.get() {
            open if open < wanted => Err(StreamsMissing { open, wanted }),
            _ => Ok(streams),
        }
    }
}

/// A call like `call` whose answer is long, with `number` in its identity.
pub fn long_call(call: &Call, number: usize) -> Call {
    let prompts = (0..).map(|variant| format!("{} {number} {variant}", call.prompt));
    let mut long = prompts.filter(|it| answer::full_length(&call.model, it) >= TOKENS_MIN);
    Call {
        prompt: long.next().unwrap_or_default(),
        request_id: format!("{}-{number}", call.request_id),
        max_tokens: TOKENS_MAX,
        ..call.clone()
    }
}

fn start(
    caller: &Caller,
    router: LoopbackAddr,
    call: Call,
    open: &Rc<Cell<usize>>,
) -> oneshot::Sender<()> {
    let (caller, open) = (caller.clone(), Rc::clone(open));
    let (stop, stopped) = oneshot::channel();
    monoio::spawn(async move {
        let reading = async {
            let Ok(response) = caller.open(router, &call).await else { return };
            if response.head.status.is_success() {
                // A stream that fails later was open when it was counted.
                let _ = read_on(response.body, &open).await;
            }
        };
        pin_mut!(reading);
        select(reading, stopped).await;
    });
    stop
}

async fn read_on(mut body: Body, open: &Cell<usize>) -> Result<(), ClientError> {
    let mut is_counted = false;
    while let Some(piece) = body.next().await {
        piece?;
        if !is_counted {
            open.set(open.get() + 1);
            is_counted = true;
        }
    }
    Ok(())
}
