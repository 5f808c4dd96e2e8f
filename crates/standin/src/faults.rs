//! The faults that a stand-in injects, and the state that changes them at run time.

use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
};

use derive_more::FromStr;
use futures::{FutureExt, pin_mut, select};
use httpio::signal::{Signal, Trigger, signal};
use serde::{Deserialize, Serialize};

use crate::settings::{FrontKind, OnCrash};

/// Exit code of a process that a fault crashes.
const CRASH_EXIT_CODE: i32 = 101;

/// The faults to inject; the default is a healthy server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Faults {
    /// The server crashes when it starts a request whose text contains this marker.
    pub crash_marker: Option<String>,
    /// Requests are read but never answered.
    pub stall: bool,
    /// Requests are refused before they start.
    pub refuse: bool,
    /// Processing time relative to a healthy server: 1,000 is healthy, 4,000 a straggler.
    pub slowdown_permille: u64,
    /// Answers are cut after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// How a cut answer ends.
    pub cut_style: CutStyle,
    /// How many of the next answers carry another request's id and content.
    pub cross_answers: u32,
    /// How many of the next orders are executed but lose their reply: the connection is closed.
    pub lose_answers: u32,
    /// How replies declare their length.
    pub framing: Framing,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            crash_marker: None,
            stall: false,
            refuse: false,
            slowdown_permille: 1_000,
            cut_after_tokens: None,
            cut_style: CutStyle::Connection,
            cross_answers: 0,
            lose_answers: 0,
            framing: Framing::Right,
        }
    }
}

/// How a cut answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CutStyle {
    /// The connection closes before the end of the body.
    Connection,
    /// The body ends regularly, but a stream's final events are missing.
    Body,
}

/// How replies declare their length; the invalid kinds need [`FrontKind::Relay`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Framing {
    /// Valid framing.
    Right,
    /// Neither a content length nor chunked coding; the body ends with the connection.
    NoLength,
    /// Both a content length and chunked coding.
    LengthAndChunked,
    /// Two different content lengths.
    TwoLengths,
}

/// The active faults, and the triggers that crash or close the server.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    faults: RefCell<Faults>,
    front: FrontKind,
    on_crash: OnCrash,
    silence_count: Cell<u64>,
    /// The peer address of the connection that requested the latest silence; it is not silenced.
    exempt: Cell<Option<SocketAddr>>,
    crash: RefCell<Option<Trigger>>,
    close: RefCell<Option<Trigger>>,
    pub(crate) crashed: Signal,
    pub(crate) closing: Signal,
}

impl FaultInjector {
    pub(crate) fn new(faults: Faults, front: FrontKind, on_crash: OnCrash) -> FaultInjector {
        let (crash, crashed) = signal();
        let (close, closing) = signal();
        FaultInjector {
            faults: RefCell::new(faults),
            front,
            on_crash,
            silence_count: Cell::new(0),
            exempt: Cell::new(None),
            crash: RefCell::new(Some(crash)),
            close: RefCell::new(Some(close)),
            crashed,
            closing,
        }
    }

    pub(crate) fn faults(&self) -> Ref<'_, Faults> {
        self.faults.borrow()
    }

    /// Replaces all faults.
    ///
    /// # Errors
    /// The remedy, if this server cannot inject one of them.
    pub(crate) fn set(&self, faults: Faults) -> Result<(), &'static str> {
        if faults.framing != Framing::Right && self.front == FrontKind::Direct {
            return Err("start the stand-in with front=relay to set framing");
        }
        *self.faults.borrow_mut() = faults;
        Ok(())
    }

    /// Stops all traffic on every open connection but `exempt`, without closing it; connections
    /// opened later work.
    ///
    /// # Errors
    /// The remedy, if this server cannot silence connections.
    pub(crate) fn silence(&self, exempt: SocketAddr) -> Result<(), &'static str> {
        if self.front == FrontKind::Direct {
            return Err("start the stand-in with front=relay to silence connections");
        }
        self.silence_count.set(self.silence_count.get() + 1);
        self.exempt.set(Some(exempt));
        Ok(())
    }

    /// The number of calls to [`FaultInjector::silence`] so far.
    pub(crate) fn silence_count(&self) -> u64 {
        self.silence_count.get()
    }

    /// Whether a connection from `addr` that was opened when the count was `silence_count` is
    /// silenced.
    pub(crate) fn is_silenced(&self, silence_count: u64, addr: SocketAddr) -> bool {
        self.silence_count.get() > silence_count && self.exempt.get() != Some(addr)
    }

    /// Whether to cross this answer; decrements the number of answers left to cross.
    pub(crate) fn take_crossed_answer(&self) -> bool {
        take_one(&mut self.faults.borrow_mut().cross_answers)
    }

    /// Whether to lose this answer; decrements the number of answers left to lose.
    pub(crate) fn take_lost_answer(&self) -> bool {
        take_one(&mut self.faults.borrow_mut().lose_answers)
    }

    pub(crate) fn matches_crash_marker(&self, text: &str) -> bool {
        let faults = self.faults.borrow();
        faults.crash_marker.as_deref().is_some_and(|it| !it.is_empty() && text.contains(it))
    }

    /// Exits the process, or closes all connections and the listener.
    pub(crate) fn crash(&self) {
        tracing::warn!(event = "crash");
        match self.on_crash {
            OnCrash::ExitProcess => std::process::exit(CRASH_EXIT_CODE),
            OnCrash::CloseAll => {
                raise(&self.crash);
                self.close();
            }
        }
    }

    /// Closes the listener; requests in flight are finished.
    pub(crate) fn close(&self) {
        raise(&self.close);
    }

    /// Waits until the caller disconnects or the server stops.
    pub(crate) async fn wait_for_disconnect(&self, disconnected: &Signal) {
        let disconnected = disconnected.raised().fuse();
        let closing = self.closing.raised().fuse();
        pin_mut!(disconnected, closing);
        select! { () = disconnected => {}, () = closing => {} }
    }
}

fn take_one(remaining: &mut u32) -> bool {
    let is_taken = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_taken
}

fn raise(trigger: &RefCell<Option<Trigger>>) {
    if let Some(trigger) = trigger.borrow_mut().take() {
        trigger.raise();
    }
}
