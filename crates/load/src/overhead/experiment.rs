//! Runs the overhead experiment.

use std::{cell::Cell, rc::Rc, time::Duration};

use clock::Clock;
use derive_more::{Display, Error, From};
use futures::future::join_all;

use super::{AddedTime, OverheadReport, RelayRate, StreamMemory};
use crate::{
    caller::{Call, Caller, Reply},
    loopback::LoopbackAddr,
    plan::AnswerMode,
    proc_stat::{Pid, ProcFault, Usage, usage},
    record::Ending,
    streams::{OpenStreams, StreamOpenTimeout, long_call},
};

/// Unmeasured calls at the start, which open connections and fill caches.
const WARM_UP_CALLS: usize = 50;

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExperimentSettings {
    /// The router.
    pub router: LoopbackAddr,
    /// The backend server behind it.
    pub direct: LoopbackAddr,
    /// The class of a backend server with slow streams behind the same router.
    pub slow_class: String,
    /// The class of all other requests.
    pub class: String,
    /// The bearer token of the workspace.
    pub token: String,
    /// The model that requests name.
    pub model: String,
    /// The router's process id; CPU time and memory are measured only if it is given.
    pub pid: Option<Pid>,
    /// Measured calls to each of router and backend server.
    pub calls: usize,
    /// Concurrent streams for the relay rate.
    pub relay_streams: usize,
    /// The maximum number of tokens of each of these streams.
    pub relay_tokens: u32,
    /// The numbers of open streams at which memory is read.
    pub open_streams: Vec<usize>,
    /// The timeout for opening them in milliseconds.
    pub open_timeout_ms: u64,
}

/// The reason why the experiment was aborted.
#[derive(Debug, Display, Error, From)]
pub enum ExperimentFault {
    /// A request did not get a whole, correct answer, so its latency is not meaningful.
    #[display("{to} gave no whole, correct answer: {ending}; check the limits in its settings")]
    #[from(ignore)]
    BadAnswer {
        /// The address of the request.
        to: LoopbackAddr,
        /// The ending, the answer fault and the text of the reply.
        ending: String,
    },
    /// Not all streams were open before the timeout.
    #[display("{_0}")]
    Streams(StreamOpenTimeout),
    /// The usage of the process cannot be read.
    #[display("{_0}")]
    Proc(ProcFault),
}

/// The overhead experiment.
pub struct Experiment {
    settings: ExperimentSettings,
    caller: Caller,
    clock: Rc<dyn Clock>,
    calls_sent: Cell<u64>,
}

impl Experiment {
    /// Creates an experiment; [`Experiment::run`] sends the requests.
    pub fn new(settings: ExperimentSettings, caller: Caller, clock: Rc<dyn Clock>) -> Experiment {
        Experiment { settings, caller, clock, calls_sent: Cell::new(0) }
    }

    /// Measures added latency, relay rate and, if the process id is known, memory per stream.
    ///
    /// # Errors
    ///
    /// [`ExperimentFault`] if a request fails or streams do not open in time.
    pub async fn run(&self) -> Result<OverheadReport, ExperimentFault> {
        let added_time = self.added_time().await?;
        let relay = self.relay().await?;
        let mut memory = Vec::new();
        if let Some(pid) = self.settings.pid {
            // Freed memory is not returned to the system, so all measurements use the baseline from
            // before the first stream.
            let before = usage(pid)?;
            for streams in &self.settings.open_streams {
                memory.push(self.memory(pid, before, *streams).await?);
            }
        }
        Ok(OverheadReport { added_time, relay, memory })
    }

    /// Calls both addresses alternately, so that other load on the machine affects both equally.
    async fn added_time(&self) -> Result<AddedTime, ExperimentFault> {
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for idx in 0..WARM_UP_CALLS + self.settings.calls {
            let direct_time = self.measure_call(self.settings.direct).await?;
            let routed_time = self.measure_call(self.settings.router).await?;
            if idx >= WARM_UP_CALLS {
                direct.push(direct_time);
                routed.push(routed_time);
            }
        }
        Ok(AddedTime::new(&direct, &routed))
    }

    async fn measure_call(&self, to: LoopbackAddr) -> Result<Duration, ExperimentFault> {
        let call = Call { answer: AnswerMode::Whole, ..self.call(1) };
        let start = self.clock.now();
        let reply = self.send_checked(to, &call).await?;
        Ok(reply.ended_at.saturating_duration_since(start))
    }

    async fn relay(&self) -> Result<RelayRate, ExperimentFault> {
        let calls: Vec<Call> = (0..self.settings.relay_streams)
            .map(|_| self.call(self.settings.relay_tokens))
            .collect();
        let cpu_before = self.cpu()?;
        let start = self.clock.now();
        let replies =
            join_all(calls.iter().map(|it| self.send_checked(self.settings.router, it))).await;
        let elapsed = self.clock.now().saturating_duration_since(start);
        let cpu = self.cpu()?.zip(cpu_before).map(|(after, before)| after.saturating_sub(before));

        let mut tokens = 0;
        for reply in replies {
            tokens += u64::from(reply?.tokens);
        }
        Ok(RelayRate::new(calls.len(), tokens, elapsed, cpu))
    }

    /// Measures memory while `streams` streams are open.
    async fn memory(
        &self,
        pid: Pid,
        before: Usage,
        streams: usize,
    ) -> Result<StreamMemory, ExperimentFault> {
        let calls = (0..streams).map(|idx| {
            let call = Call { class: self.settings.slow_class.clone(), ..self.call(1) };
            long_call(&call, idx)
        });
        let timeout = Duration::from_millis(self.settings.open_timeout_ms);
        let (router, clock) = (self.settings.router, &*self.clock);
        let open = OpenStreams::open(&self.caller, router, calls.collect(), timeout, clock).await?;
        let during = usage(pid)?;
        drop(open);
        Ok(StreamMemory::new(streams, before.rss_kib, during.rss_kib))
    }

    async fn send_checked(&self, to: LoopbackAddr, call: &Call) -> Result<Reply, ExperimentFault> {
        let reply = self.caller.send(to, call).await;
        let is_good = reply.ending == Ending::Answered && reply.answer_fault.is_none();
        if is_good {
            return Ok(reply);
        }
        let ending = format!("{:?}, {:?}, {}", reply.ending, reply.answer_fault, reply.text);
        Err(ExperimentFault::BadAnswer { to, ending })
    }

    fn call(&self, max_tokens: u32) -> Call {
        let number = self.calls_sent.get();
        self.calls_sent.set(number + 1);
        let since_epoch = self.clock.wall().duration_since(std::time::UNIX_EPOCH);
        let run = since_epoch.unwrap_or_default().as_nanos();
        Call {
            class: self.settings.class.clone(),
            token: self.settings.token.clone(),
            request_id: format!("overhead-{run:x}-{number}"),
            model: self.settings.model.clone(),
            prompt: format!("measure {number}"),
            max_tokens,
            ..Call::default()
        }
    }

    fn cpu(&self) -> Result<Option<Duration>, ExperimentFault> {
        Ok(self.settings.pid.map(usage).transpose()?.map(|it| it.cpu))
    }
}
