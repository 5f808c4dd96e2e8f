//! A signal wakes all tasks that wait for it, even if the runtime of some of them has ended.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use httpio::signal;
use monoio::time;

#[test]
fn ended_runtime() {
    let (trigger, signal) = signal::signal();
    let waiting = signal.clone();
    support::run(async move {
        monoio::spawn(async move { waiting.raised().await });
        // Lets the spawned task start to wait before the runtime ends.
        time::sleep(Duration::ZERO).await;
    });
    trigger.raise();
    assert!(signal.is_raised());
}

#[test]
fn wakes_all_waiters() {
    support::run(async {
        let (trigger, signal) = signal::signal();
        let count = Rc::new(Cell::new(0));
        let wait = || {
            let (signal, count) = (signal.clone(), Rc::clone(&count));
            monoio::spawn(async move {
                signal.raised().await;
                count.set(count.get() + 1);
            })
        };
        let tasks: Vec<_> = (0..3).map(|_| wait()).collect();
        time::sleep(Duration::ZERO).await;
        assert!(!signal.is_raised());
        trigger.raise();
        futures::future::join_all(tasks).await;
        assert_eq!(count.get(), 3);
        signal.raised().await;
    });
}

#[test]
fn dropped_trigger() {
    support::run(async {
        let (trigger, signal) = signal::signal();
        drop(trigger);
        let waited = time::timeout(Duration::ZERO, signal.raised()).await;
        assert!(waited.is_err() && !signal.is_raised());
    });
}
