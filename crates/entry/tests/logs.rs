//! A blocked or failing sink neither blocks nor stops the process; dropped lines are counted and
//! reported.

use {
    mastictrail_entry::logs::Queue,
    std::{
        fs::File,
        io::{self, Write},
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest wait before a test fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A sink that a test can block, fill and read.
#[derive(Clone, Default)]
struct Sink {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    text: String,
    is_blocked: bool,
    is_full: bool,
}

impl Sink {
    fn update(&self, change: impl FnOnce(&mut State)) {
        let (state, changed) = &*self.state;
        change(&mut state.lock().unwrap_or_else(PoisonError::into_inner));
        changed.notify_all();
    }

    fn text(&self) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.text.clone()
    }
}

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = changed
            .wait_while(state, |state| state.is_blocked)
            .unwrap_or_else(PoisonError::into_inner);
        if state.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.text.push_str(&String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lines_are_written_in_order() {
    let sink = Sink::default();
    let queue = Queue::start(Box::new(sink.clone()), 8, "vm-1");
    for number in 0..5 {
        queue.push(format!("{number}").into());
    }
    assert!(queue.flush(TIMEOUT));
    assert_eq!(sink.text(), "0\n1\n2\n3\n4\n");
    assert_eq!(queue.dropped(), 0);
}

#[test]
fn a_blocked_sink_blocks_no_caller_and_dropped_lines_are_reported() {
    let sink = Sink::default();
    sink.update(|state| state.is_blocked = true);
    let queue = Queue::start(Box::new(sink.clone()), 4, "vm-1");
    for number in 0..100 {
        queue.push(format!("{number}").into());
    }
    // The queue holds four lines, and the writer may hold one more.
    let dropped = queue.dropped();
    assert!((95..=96).contains(&dropped), "{dropped} dropped");
    assert!(!queue.flush(Duration::from_millis(1)));
    sink.update(|state| state.is_blocked = false);
    assert!(queue.flush(TIMEOUT));
    wait_until("the dropped lines are reported", || {
        sink.text().contains(&format!("\"dropped\":{dropped}"))
    });
}

#[test]
fn lines_are_written_again_after_the_disk_was_full() {
    let sink = Sink::default();
    sink.update(|state| state.is_full = true);
    let queue = Queue::start(Box::new(sink.clone()), 64, "vm-1");
    for _ in 0..10 {
        queue.push("lost".into());
    }
    assert!(queue.flush(TIMEOUT));
    assert_eq!(queue.dropped(), 10);
    sink.update(|state| state.is_full = false);
    queue.push("kept".into());
    assert!(queue.flush(TIMEOUT));
    wait_until("the dropped lines are reported", || {
        sink.text().contains("\"dropped\":10")
    });
    wait_until("the line is written", || {
        sink.text().lines().any(|line| line == "kept")
    });
}

#[test]
fn a_full_device_only_drops_lines() {
    let device = File::options().write(true).open("/dev/full");
    let queue = Queue::start(Box::new(device.expect("can't open /dev/full")), 8, "vm-1");
    queue.push("lost".into());
    assert!(queue.flush(TIMEOUT));
    assert_eq!(queue.dropped(), 1);
}
