//! Processes that a test starts, signals and ends.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        net::{Ipv4Addr, SocketAddr},
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
    },
};

static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns an address that no other process takes: the loopback address is made of this one's id.
pub fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 + high, middle, low);
    SocketAddr::from((address, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// A process, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        Self {
            child: command.spawn().expect("the program starts"),
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process can be asked")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process runs");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
