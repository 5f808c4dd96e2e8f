//! Samples this process, whose byte counter is read over HTTP.

mod support;

use std::{cell::Cell, rc::Rc};

use clock::{Clock, SystemClock};
use expect_test::expect;
use httpio::{StatusCode, server::Reply};
use load::{
    capacity::{
        Driver, Measure, MetricsWireBytes, Sample, SampleLabel, SamplerFault, SamplerSettings,
        sample_process,
    },
    proc_stat::Pid,
};
use support::{block_on, ready, serve_handler};

/// Samples this process. Its counter rises by 100 on each read.
fn sample(counter: &str) -> Result<Sample, SamplerFault> {
    block_on(async {
        let read = Rc::new(Cell::new(0));
        let addr = serve_handler(move |_| {
            read.set(read.get() + 100);
            let text = format!("wire_bytes_total{{way=\"in\"}} {}\n", read.get());
            ready(Reply::typed(StatusCode::OK, "text/plain", text.into()))
        });
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let wire = MetricsWireBytes::new(addr, vec![counter.to_owned()], Rc::clone(&clock));
        let settings = SamplerSettings { pid: Pid(std::process::id()), window_ms: 20 };
        let (role, driver) = ("router".to_owned(), Driver::Replicas);
        let label = SampleLabel { role, driver, size: 10.0, held: Vec::new() };
        sample_process(settings, label, &wire, &*clock).await
    })
}

#[test]
fn all_measures_sampled() {
    let sample = sample("wire_bytes_total").expect("the counter exists");
    let measures: Vec<Measure> = sample.readings.iter().map(|it| it.measure).collect();
    let all = [Measure::CpuPermille, Measure::RssKib, Measure::WireBytesPerS];
    assert_eq!(measures, all);
    let wire = sample.readings[2].value;
    assert!(wire > 0.0 && wire <= 100.0 / 0.020, "{wire} bytes/s");
}

#[test]
fn missing_counter_named() {
    let fault = sample("other_total").expect_err("no such counter");
    let text = fault.to_string();
    let (_, message) = text.split_once(' ').expect("an address first");
    expect!["has no counter other_total; see its /metrics for the names"].assert_eq(message);
}
