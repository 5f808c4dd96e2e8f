//! The estimate of the true time against steps of the wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use duties::TrueTime;

const TICK: Duration = Duration::from_millis(250);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// How long a step must last before it is followed.
const FOLLOWED_AFTER: Duration = Duration::from_secs(20);

/// A VM whose wall clock is off by a number of seconds, which a test changes.
struct Vm {
    start: Instant,
    elapsed: Duration,
    offset_s: i64,
    time: TrueTime,
}

impl Vm {
    fn start() -> Vm {
        let start = Instant::now();
        let time = TrueTime::new(start, UNIX_EPOCH + EPOCH);
        Vm { start, elapsed: Duration::ZERO, offset_s: 0, time }
    }

    fn wall(&self) -> SystemTime {
        let seconds = EPOCH.as_secs().saturating_add_signed(self.offset_s);
        UNIX_EPOCH + Duration::from_secs(seconds) + self.elapsed
    }

    /// Runs for `time` and returns by how many seconds the estimate is off then.
    fn run(&mut self, time: Duration) -> i64 {
        let end = self.elapsed + time;
        loop {
            let estimate = self.time.update(self.start + self.elapsed, self.wall());
            if self.elapsed >= end {
                let truth = EPOCH + self.elapsed;
                return estimate.as_secs() as i64 - truth.as_secs() as i64;
            }
            self.elapsed += TICK;
        }
    }
}

/// Guards against windows that move with a wall clock that jumps and jumps back.
#[test]
fn short_steps() {
    for offset_s in [7, -7] {
        let mut vm = Vm::start();
        for _ in 0..5 {
            vm.offset_s = offset_s;
            assert_eq!(vm.run(FOLLOWED_AFTER - TICK), 0, "{offset_s}");
            vm.offset_s = 0;
            assert_eq!(vm.run(TICK), 0, "{offset_s}");
        }
    }
}

/// Guards against a VM that keeps to a wrong time after its clock has been corrected.
#[test]
fn lasting_steps() {
    for offset_s in [7, -7, 3_600] {
        let mut vm = Vm::start();
        vm.offset_s = offset_s;
        assert_eq!(vm.run(FOLLOWED_AFTER - TICK), 0);
        assert_eq!(vm.run(TICK), offset_s);
    }
}

/// Guards against a step that is followed at once since another one came before it.
#[test]
fn step_after_step() {
    let mut vm = Vm::start();
    vm.offset_s = 7;
    vm.run(FOLLOWED_AFTER - TICK);
    vm.offset_s = -4;
    assert_eq!(vm.run(FOLLOWED_AFTER - TICK), 0);
    assert_eq!(vm.run(TICK), -4);
}

/// Guards against a VM that stays behind after it was suspended, during which its monotonic clock stopped:
/// its wall clock is right, and is followed like a step that lasts.
#[test]
fn suspended_machine() {
    let mut vm = Vm::start();
    vm.run(Duration::from_secs(60));
    let suspended_s = 40;
    vm.offset_s = suspended_s;
    assert_eq!(vm.run(FOLLOWED_AFTER), suspended_s);
}

/// Guards against jumps of the estimate by small corrections of the wall clock.
#[test]
fn small_differences() {
    let start = Instant::now();
    let mut time = TrueTime::new(start, UNIX_EPOCH + EPOCH);
    for tick in 0..200u32 {
        let elapsed = TICK * tick;
        let wall = UNIX_EPOCH + EPOCH + elapsed + Duration::from_millis(u64::from(tick % 2) * 100);
        assert_eq!(time.update(start + elapsed, wall), EPOCH + elapsed);
    }
}
