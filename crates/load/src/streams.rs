//! Holds many streams open at once.

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

/// Answers of at least this many tokens last longer than a measurement.
const LONG_ANSWER_TOKENS_MIN: u32 = 600;

/// An upper bound on the tokens of a stand-in's longest answer.
const ANSWER_TOKENS_MAX: u32 = 100_000;

/// The interval at which the count of open streams is polled while they are opened.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Not all streams were open before the timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{open} of {requested} streams were open in time; raise the limits of router and engine")]
pub struct StreamOpenTimeout {
    /// Streams that had received their first bytes.
    pub open: usize,
    /// Streams to open.
    pub requested: usize,
}

/// Open streams whose tokens are read as they arrive. Dropping this value closes them.
pub struct OpenStreams {
    /// A reader stops when the sender of its channel is dropped.
    _readers: Vec<oneshot::Sender<()>>,
}

impl OpenStreams {
    /// Opens a stream for each of `calls` and waits until all have received their first bytes.
    ///
    /// # Errors
    ///
    /// [`StreamOpenTimeout`] if that takes longer than `timeout`.
    pub async fn open(
        caller: &Caller,
        router: LoopbackAddr,
        calls: Vec<Call>,
        timeout: Duration,
        clock: &dyn Clock,
    ) -> Result<OpenStreams, StreamOpenTimeout> {
        let requested = calls.len();
        let open = Rc::new(Cell::new(0));
        let readers = calls.into_iter().map(|it| spawn_reader(caller, router, it, &open));
        let streams = OpenStreams { _readers: readers.collect() };
        let deadline = clock.now() + timeout;
        while open.get() < requested && clock.now() < deadline {
            time::sleep(POLL_INTERVAL).await;
        }
        match open.get() {
            open if open < requested => Err(StreamOpenTimeout { open, requested }),
            _ => Ok(streams),
        }
    }
}

/// Derives a call from `call` with a long answer and with `number` in its prompt and request id.
pub fn long_call(call: &Call, number: usize) -> Call {
    let prompts = (0..).map(|variant| format!("{} {number} {variant}", call.prompt));
    let mut long =
        prompts.filter(|it| answer::full_length(&call.model, it) >= LONG_ANSWER_TOKENS_MIN);
    Call {
        prompt: long.next().unwrap_or_default(),
        request_id: format!("{}-{number}", call.request_id),
        max_tokens: ANSWER_TOKENS_MAX,
        ..call.clone()
    }
}

fn spawn_reader(
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
                // The error is ignored: a stream that fails later was open when it was counted.
                let _ = read_to_end(response.body, &open).await;
            }
        };
        pin_mut!(reading);
        select(reading, stopped).await;
    });
    stop
}

async fn read_to_end(mut body: Body, open: &Cell<usize>) -> Result<(), ClientError> {
    let mut is_counted = false;
    while let Some(chunk) = body.next().await {
        chunk?;
        if !is_counted {
            open.set(open.get() + 1);
            is_counted = true;
        }
    }
    Ok(())
}
