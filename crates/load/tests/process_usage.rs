//! Reads the resource usage of the test process itself.

use load::proc_stat::{Pid, usage};

#[test]
fn usage_grows() {
    let pid = Pid(std::process::id());
    let before = usage(pid).expect("this process runs");
    let block = vec![1u8; 64 << 20];
    let sum: u64 = block.iter().map(|it| u64::from(std::hint::black_box(*it))).sum();
    let after = usage(pid).expect("this process runs");
    assert_eq!(sum, 64 << 20);
    assert!(after.cpu > before.cpu);
    assert!(after.rss_kib >= before.rss_kib + (48 << 10));
    drop(block);
}

#[test]
fn missing_process_reported() {
    let fault = usage(Pid(u32::MAX)).expect_err("no process has this id");
    assert!(fault.to_string().contains("check that the process runs"), "{fault}");
}
