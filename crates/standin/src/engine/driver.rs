//! Runs the engine's steps at the pace that their simulated durations set.

use std::{future::poll_fn, rc::Rc, task::Poll, time::Duration};

use engine_model::StepReport;
use futures::{FutureExt, StreamExt, channel::mpsc, pin_mut, select};
use monoio::time;

use super::EngineService;

/// Beyond this delay the schedule restarts from the current time instead of catching up.
const CATCH_UP_MAX: Duration = Duration::from_millis(100);

/// Steps the engine for as long as the server runs.
pub(super) async fn run(service: Rc<EngineService>, mut wakeups: mpsc::Receiver<()>) {
    let mut due = time::Instant::now();
    loop {
        service.expire();
        if service.is_idle() {
            if !wait_for_work(&service, &mut wakeups).await {
                return;
            }
            due = time::Instant::now();
            continue;
        }
        let report = service.step();
        if due.elapsed() > CATCH_UP_MAX {
            due = time::Instant::now();
        }
        due += service.settings.scaled(report.duration);
        if due > time::Instant::now() {
            time::sleep_until(due).await;
        } else {
            // The timer would round up to a millisecond; a yield is enough to poll connections.
            yield_now().await;
        }
        if service.injector.crashed.is_raised() {
            return;
        }
        service.finish_step(&report);
    }
}

async fn yield_now() {
    let mut yielded = false;
    poll_fn(|ctx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        ctx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Waits for a wake-up; returns `false` if the server crashed.
async fn wait_for_work(service: &EngineService, wakeups: &mut mpsc::Receiver<()>) -> bool {
    let crashed = service.injector.crashed.raised().fuse();
    pin_mut!(crashed);
    select! {
        () = crashed => false,
        wakeup = wakeups.next() => wakeup.is_some(),
    }
}

impl EngineService {
    fn is_idle(&self) -> bool {
        self.state.borrow().engine.is_idle()
    }

    fn step(&self) -> StepReport {
        self.state.borrow_mut().engine.step()
    }

    fn finish_step(&self, report: &StepReport) {
        self.state.borrow_mut().apply_step(report, self.clock.now());
        if report.admitted.iter().any(|id| self.has_crash_marker(*id)) {
            self.injector.crash();
        }
    }

    fn has_crash_marker(&self, id: engine_model::RequestId) -> bool {
        let state = self.state.borrow();
        let stream = state.streams.by_id.get(&id);
        stream.is_some_and(|it| self.injector.matches_crash_marker(&it.request.prompt))
    }

    fn expire(&self) {
        self.state.borrow_mut().expire(self.clock.now());
    }
}
