//! Gateways as separate processes, started with the command and the template of the deploy file.

use crate::{http, record::Record};
use std::{
    ffi::c_int,
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio, id},
    time::Duration,
};

/// Makes the kernel send a signal to the calling process when the thread that started it ends.
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_int = 9;

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// Addresses of a small deployment, all of them on loopback.
pub struct Network {
    subnet: [u8; 2],
    first_port: u16,
}

impl Network {
    /// Finds ports that are free on the addresses of this process.
    pub fn new() -> io::Result<Self> {
        let [_, _, high, low] = id().to_be_bytes();
        for first_port in (20_000..28_000).step_by(16) {
            let network = Self {
                subnet: [128 | high, low],
                first_port,
            };
            let ports = 0..8;
            let mut addresses = ports.map(|port| network.address(network.vm_ip(0), port));
            if addresses.all(|address| TcpListener::bind(address).is_ok()) {
                return Ok(network);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], last)
    }

    fn address(&self, ip: Ipv4Addr, port: u16) -> SocketAddr {
        SocketAddr::from((ip, self.first_port + port))
    }

    fn vm_ip(&self, vm: usize) -> Ipv4Addr {
        self.ip(1 + vm as u8)
    }

    /// Returns the address at which a VM reaches the store.
    pub fn store(&self, vm: usize) -> SocketAddr {
        self.address(self.ip(101 + vm as u8), 5)
    }

    /// Returns the address of a runner.
    pub fn runner(&self, index: usize) -> SocketAddr {
        self.address(self.ip(201 + index as u8), 6)
    }
}

/// A VM and its process; the process is killed when this is dropped.
pub struct Gateway {
    pub vm: usize,
    pub clients: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    directory: PathBuf,
    process: Option<Child>,
    record: Record,
}

impl Gateway {
    /// Writes the settings of a VM and starts its process.
    pub fn start(
        vm: usize,
        zone: &str,
        vms: usize,
        network: &Network,
        record: &Record,
    ) -> io::Result<Self> {
        let ip = network.vm_ip(vm);
        let directory = std::env::temp_dir().join(format!("review-{}", id()));
        fs::create_dir_all(&directory)?;
        let address = |port| network.address(ip, port);
        let seeds = (0..vms.min(3)).map(|seed| network.address(network.vm_ip(seed), 2).to_string());
        // The fields of the platform's settings that the template names.
        let fields = [
            ("NodeName", format!("edge-{vm}")),
            ("Zone", zone.to_owned()),
            ("ListenAddresses.Frontend", address(0).to_string()),
            ("ListenAddresses.Readiness", address(1).to_string()),
            ("ListenAddresses.ControlPlane", address(2).to_string()),
            ("Ip", ip.to_string()),
            ("InternalPortRange.0", (network.first_port + 3).to_string()),
            ("InternalPortRange.1", (network.first_port + 4).to_string()),
            ("Platform.Address", network.store(vm).to_string()),
            ("Platform.HistoryS", "20".to_owned()),
            ("Seeds", seeds.collect::<Vec<_>>().join(",")),
            ("Limits.Cores", "1".to_owned()),
            ("Limits.LinkMbps", "700.0".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.RetryBudgetExtra", "126".to_owned()),
            ("Bounds.BudgetWindowS", "10".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/gateway.ini")?;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other(
                "the template has fields that the stand-in lacks",
            ));
        }
        let settings = directory.join(format!("edge-{vm}.ini"));
        fs::write(&settings, text)?;
        let mut gateway = Self {
            vm,
            clients: address(0),
            readiness: address(1),
            settings,
            directory,
            process: None,
            record: record.clone(),
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) -> io::Result<()> {
        let log = match std::env::var_os("LOGS") {
            Some(logs) => {
                let path = PathBuf::from(logs).join(format!("edge-{}.log", self.vm));
                let file = fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path)?;
                Stdio::from(file)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new("target/release/mastictrail");
        command
            .arg("gateway")
            .env("MASTICTRAIL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log);
        // No process is left if the stand-in is ended early.
        // SAFETY: `prctl` only changes an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong);
                Ok(())
            });
        }
        let process = command.spawn()?;
        self.process = Some(process);
        self.record
            .line("process", &format!("vm-{} started", self.vm));
        Ok(())
    }

    /// Sends SIGKILL, as at a loss of power.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record
                .line("process", &format!("vm-{} killed", self.vm));
        }
    }

    /// Returns the memory that the process uses, in bytes; 0 if it doesn't run.
    pub fn memory(&self) -> u64 {
        let id = self.process.as_ref().map(Child::id);
        let status = id.and_then(|id| fs::read_to_string(format!("/proc/{id}/status")).ok());
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes =
            line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        kilobytes.unwrap_or_default() << 10
    }

    /// Asks as the platform's balancer does whether the VM is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let headers = [("Host", "ready.example"), ("Connection", "close")];
        let answer = http::send(self.readiness, "GET", "/v1/readyz", &headers, &[], timeout);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_dir(&self.directory);
    }
}
