//! Child processes that a test starts, signals and kills.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
    },
};

/// First port of the test processes.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that one test process may draw.
const PORTS: u16 = 9_000;

static DRAWN_PORTS: AtomicU16 = AtomicU16::new(0);
static NEXT_LOG: AtomicU16 = AtomicU16::new(0);

/// Returns an unused loopback address.
///
/// Its IP is derived from the process id, so that test processes that run in parallel never share
/// an address. Those whose ids differ by their highest bit draw from different ports, because a
/// site has the IPs of several ids.
pub fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 + high, middle, low);
    let port = DRAWN_PORTS.fetch_add(1, Ordering::Relaxed);
    assert!(port < PORTS, "the test process has no port left");
    let range = u16::from(high / super::site::VM_BLOCK);
    SocketAddr::from((address, FIRST_PORT + range * PORTS + port))
}

/// A child process, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program, whose output goes to a new file of the directory `TEST_LOGS`, if that is set.
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let output = std::env::var_os("TEST_LOGS").map_or_else(Stdio::null, |directory| {
            let number = NEXT_LOG.fetch_add(1, Ordering::Relaxed);
            let name = format!("{}-{number}.log", std::process::id());
            let path = Path::new(&directory).join(name);
            File::create(path).expect("the log is created").into()
        });
        Self::start_with_output(program, arguments, output)
    }

    /// Starts a program, whose output goes to `output`.
    pub fn start_with_output(program: &str, arguments: &[String], output: Stdio) -> Self {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(output);
        Self {
            child: command.spawn().expect("the program starts"),
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process has used, in bytes; 0 if it has exited.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kilobytes = kilobytes.and_then(|text| text.trim().parse::<u64>().ok());
        kilobytes.unwrap_or_default() << 10
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which makes it read its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child can be waited for")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
