//! Starts a cluster of real processes on loopback, with a fault proxy on every link.

#![allow(
    dead_code,
    unused_imports,
    missing_docs,
    missing_debug_implementations,
    reason = "each test file uses only a part of the harness"
)]

mod calls;
pub mod client;
mod deployment;
pub mod process;
pub mod raw;
pub mod site;

pub use client::{Completion, Outcome, Response, Stream, TIMEOUT};

use {
    process::{Process, free_address},
    std::{
        collections::BTreeMap,
        io::{BufRead as _, BufReader, Write as _},
        net::{SocketAddr, TcpStream},
        ops::{Deref, DerefMut},
        os::unix::fs::PermissionsExt as _,
        path::{Path, PathBuf},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Customers and their API keys.
pub const CUSTOMERS: [(&str, &str); 2] = [("alpha", "alpha-key"), ("beta", "beta-key")];
/// Service of the engines.
pub const MODEL_SERVICE: &str = "desk";
/// Model that the engines serve.
pub const MODEL: &str = "recipe-draft";
/// Service without a model, whose targets count the runs of each operation.
pub const PLAIN_SERVICE: &str = "ledger";

/// Size and configuration of a cluster.
#[derive(Clone, Debug)]
pub struct Setup {
    pub data_centres: usize,
    /// Entry VMs per data centre.
    pub vms: usize,
    /// Engines per data centre.
    pub engines: usize,
    /// Targets of the plain service per data centre.
    pub services: usize,
    /// Additional command-line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Sections appended to the published configuration.
    pub configuration: String,
    /// Sections appended to the settings of each entry VM.
    pub settings: String,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            data_centres: 1,
            vms: 2,
            engines: 2,
            services: 1,
            engine_arguments: Vec::new(),
            configuration: String::new(),
            settings: String::new(),
        }
    }
}

/// Setup and addresses of a running cluster; cloned into threads that send requests to it.
#[derive(Clone)]
pub struct Handle {
    pub setup: Setup,
    /// Addresses by name: engines, services, `platform`, `proxy`, `VM/caller`, `VM/inner`,
    /// `VM/admin`, and `link:NAME` for the proxied address of a link.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// A running cluster; its processes are killed when it is dropped.
pub struct Cluster {
    pub handle: Handle,
    pub processes: BTreeMap<String, Process>,
    proxy_control: Mutex<Option<BufReader<TcpStream>>>,
    directory: tempfile::TempDir,
}

/// Restricts access to a file to its owner.
pub fn restrict_access(file: &Path) {
    let mode = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(file, mode).expect("the file mode is set");
}

/// Polls a condition until it holds; panics with its description after [`TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

impl Setup {
    /// Starts the processes and waits until every entry VM is ready.
    pub fn start(self) -> Cluster {
        let mut cluster = Cluster {
            handle: Handle {
                setup: self,
                addresses: BTreeMap::new(),
            },
            processes: BTreeMap::new(),
            proxy_control: Mutex::new(None),
            directory: tempfile::tempdir().expect("a temporary directory is created"),
        };
        let key = cluster.directory.path().join("deployment.key");
        std::fs::write(&key, "0123456789abcdef0123456789abcdef").expect("the key file is written");
        restrict_access(&key);
        cluster.start_fakes();
        for vm in cluster.vms() {
            cluster.add_vm_links(&vm);
        }
        cluster.publish(1, "");
        for vm in cluster.vms() {
            cluster.start_vm(&vm);
        }
        for vm in cluster.vms() {
            cluster.wait_until_ready(&vm);
        }
        cluster
    }

    fn names(&self, kind: &str, per_data_centre: usize) -> Vec<String> {
        let count = 1..=self.data_centres * per_data_centre;
        count.map(|number| format!("{kind}-{number}")).collect()
    }
}

impl Deref for Cluster {
    type Target = Handle;

    fn deref(&self) -> &Handle {
        &self.handle
    }
}

impl DerefMut for Cluster {
    fn deref_mut(&mut self) -> &mut Handle {
        &mut self.handle
    }
}

impl Cluster {
    /// Returns the data centre of a process from the number that ends its name.
    fn data_centre(name: &str, per_data_centre: usize) -> String {
        let number = name.rsplit('-').next().and_then(|n| n.parse().ok());
        let number: usize = number.unwrap_or(1);
        format!("dc-{}", (number - 1) / per_data_centre.max(1) + 1)
    }

    /// Starts the fault proxy and the fake platform, engines and services, and adds a link to each
    /// target.
    fn start_fakes(&mut self) {
        self.start_fake("proxy", "proxy");
        let control = TcpStream::connect(self.addresses["proxy"]).expect("the proxy listens");
        *self.proxy_control.lock().unwrap() = Some(BufReader::new(control));
        self.start_fake("platform", "platform");
        for engine in self.engines() {
            self.start_fake("engine", &engine);
        }
        for service in self.services() {
            self.start_fake("service", &service);
        }
        for target in [self.engines(), self.services()].concat() {
            self.add_link(&target, "tcp", &target, free_address());
        }
    }

    /// Starts a fake; a restarted one keeps its address.
    pub fn start_fake(&mut self, kind: &str, name: &str) {
        let address = *self
            .addresses
            .entry(name.into())
            .or_insert_with(free_address);
        let mut arguments = vec![kind.to_owned(), "--listen".into(), address.to_string()];
        if kind == "engine" {
            let seed = self.seed(name).to_string();
            let models = format!("{MODEL}@1");
            let options = ["--name", name, "--seed", &seed, "--models", &models];
            arguments.extend(options.map(str::to_owned));
            arguments.extend(self.setup.engine_arguments.iter().cloned());
        }
        let process = Process::start(env!("CARGO_BIN_EXE_mastictrail-fakes"), &arguments);
        self.processes.insert(name.into(), process);
        wait_until(&format!("{name} listens"), || {
            TcpStream::connect(address).is_ok()
        });
    }

    /// Adds the links to an entry VM and from it to the platform.
    fn add_vm_links(&mut self, vm: &str) {
        for part in ["caller", "inner", "admin"] {
            let name = format!("{vm}/{part}");
            self.addresses.insert(name, free_address());
        }
        let inner = free_address();
        let upstream = format!("{vm}/inner");
        self.add_link(vm, "tcp", &upstream, inner);
        self.add_link(vm, "udp", &upstream, inner);
        self.add_link(&format!("platform/{vm}"), "tcp", "platform", free_address());
    }

    /// Adds a link to the proxy and records its listen address as `link:NAME`.
    fn add_link(&mut self, name: &str, protocol: &str, upstream: &str, listen: SocketAddr) {
        let upstream = self.addresses[upstream];
        self.proxy_command(&format!("{protocol} {name} {listen} {upstream}"));
        self.addresses.insert(format!("link:{name}"), listen);
    }

    /// Sends a command to the fault proxy and returns its reply.
    ///
    /// A link has the name of the process behind it; `platform/VM` is the link from an entry VM to
    /// the platform.
    pub fn proxy_command(&self, command: &str) -> String {
        let mut control = self.proxy_control.lock().unwrap();
        let control = control.as_mut().expect("the proxy runs");
        writeln!(control.get_mut(), "{command}").expect("the proxy accepts a command");
        let mut reply = String::new();
        control.read_line(&mut reply).expect("the proxy replies");
        let reply = reply.trim().strip_prefix("ok").map(str::trim);
        reply
            .unwrap_or_else(|| panic!("{command}: rejected by the proxy"))
            .into()
    }

    /// Starts an entry VM; a restarted one keeps its addresses.
    pub fn start_vm(&mut self, vm: &str) {
        let path = |name: &str| self.directory.path().join(name);
        let key = path("deployment.key");
        let peers = self.vms().into_iter().filter(|peer| peer != vm);
        let peers: Vec<_> = peers
            .map(|peer| self.addresses[&format!("link:{peer}")].to_string())
            .collect();
        let mut text = format!("[vm]\nname = {vm}\n");
        let mut line = |line: String| text.push_str(&(line + "\n"));
        line(format!(
            "data_centre = {}",
            Self::data_centre(vm, self.setup.vms)
        ));
        if !peers.is_empty() {
            line(format!("peers = {}", peers.join(", ")));
        }
        line("[listen]".into());
        for part in ["caller", "inner", "admin"] {
            line(format!(
                "{part} = {}",
                self.addresses[&format!("{vm}/{part}")]
            ));
        }
        line(format!(
            "[platform]\naddress = {}",
            self.addresses[&format!("link:platform/{vm}")]
        ));
        line(format!("[keys]\ndeployment = {}", key.display()));
        line(format!(
            "[log]\nfile = {}",
            path(&format!("{vm}.log")).display()
        ));
        line(self.setup.settings.clone());
        let settings = path(&format!("{vm}.ini"));
        std::fs::write(&settings, text).expect("the settings file is written");
        let arguments = ["serve".to_owned(), settings.display().to_string()];
        let process = Process::start(env!("CARGO_BIN_EXE_mastictrail"), &arguments);
        self.processes.insert(vm.into(), process);
    }

    /// Kills an entry VM if it still runs, starts it again and waits until it is ready.
    pub fn restart_vm(&mut self, vm: &str) {
        self.process(vm).kill();
        self.start_vm(vm);
        self.wait_until_ready(vm);
    }

    fn wait_until_ready(&mut self, vm: &str) {
        wait_until(&format!("{vm} is ready"), || {
            assert!(
                self.process(vm).exit_status().is_none(),
                "{vm} exited during startup"
            );
            self.is_ready(vm)
        });
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process runs")
    }

    /// Returns the log of an entry VM, empty if there is none yet.
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.log_path(vm)).unwrap_or_default()
    }

    pub fn log_path(&self, vm: &str) -> PathBuf {
        self.directory.path().join(format!("{vm}.log"))
    }
}

impl Drop for Cluster {
    /// Prints the last lines of each entry VM's log if the test failed.
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for vm in self.vms() {
            let log = self.log(&vm);
            let lines: Vec<_> = log.lines().collect();
            let last = lines.len().saturating_sub(15);
            eprintln!("-- {vm}\n{}", lines[last..].join("\n"));
        }
    }
}
