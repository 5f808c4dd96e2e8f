//! A sample of a process with counters of its own.

mod support;

use std::{cell::Cell, rc::Rc};

use clock::{Clock, SystemClock};
use expect_test::expect;
use httpio::{StatusCode, server::Reply};
use load::{
    capacity::{
        Driver, Measure, Sample, SampleLabel, SamplerFault, SamplerSettings, ServedWireBytes, watch,
    },
    proc_stat::Pid,
};
use support::{block_on, ready, start};

/// Watches this process, whose counter rises by 100 each time that it is read.
fn sample(counter: &str) -> Result<Sample, SamplerFault> {
    block_on(async {
        let read = Rc::new(Cell::new(0));
        let addr = start(move |_| {
            read.set(read.get() + 100);
            let text = format!("wire_bytes_total{{way=\"in\"}} {}\n", read.get());
            ready(Reply::typed(StatusCode::OK, "text/plain", text.into()))
        });
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let wire = ServedWireBytes::new(addr, vec![counter.to_owned()], Rc::clone(&clock));
        let settings = SamplerSettings { pid: Pid(std::process::id()), window_ms: 20 };
        let (role, driver) = ("router".to_owned(), Driver::Replicas);
        let label = SampleLabel { role, driver, size: 10.0, held: Vec::new() };
        watch(settings, label, &wire, &*clock).await
    })
}

#[test]
fn every_measure() {
    let sample = sample("wire_bytes_total").expect("the counter exists");
    let measures: Vec<Measure> = sample.readings.iter().map(|it| it.measure).collect();
    let all = [Measure::CpuPermille, Measure::RssKib, Measure::WireBytesPerS];
    assert_eq!(measures, all);
    let wire = sample.readings[2].value;
    assert!(wire > 0.0 && wire <= 100.0 / 0.020, "{wire} bytes/s");
}

#[test]
fn absent_counter() {
    let fault = sample("other_total").expect_err("no such counter");
    let text = fault.to_string();
    let (_, message) = text.split_once(' ').expect("an address first");
    expect!["has no counter other_total; see its /metrics for the names"].assert_eq(message);
}
