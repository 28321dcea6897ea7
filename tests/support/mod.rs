//! Starts the system as real processes on loopback, with a fault proxy on every link.

#![allow(
    dead_code,
    unused_imports,
    missing_docs,
    missing_debug_implementations,
    reason = "each test file uses a part of the harness"
)]

mod calls;
pub mod client;
mod deployment;
pub mod process;
pub mod site;

pub use client::{Answer, Draft, End, PATIENCE, Stream};

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

/// Customers with the keys that they send.
pub const CUSTOMERS: [(&str, &str); 2] = [("alpha", "alpha-key"), ("beta", "beta-key")];
/// The service of the engines, its model, and the plain service.
pub const MODEL_SERVICE: &str = "desk";
pub const MODEL: &str = "recipe-draft";
pub const PLAIN_SERVICE: &str = "ledger";

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub data_centres: usize,
    /// Entry VMs, engines and services of each data centre.
    pub vms: usize,
    pub engines: usize,
    pub services: usize,
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Sections added to the published value and to the settings of each entry VM.
    pub configuration: String,
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

/// Who there is and where; copies of it serve threads that call the system.
#[derive(Clone)]
pub struct View {
    pub setup: Setup,
    /// Addresses by name: engines, services, `platform`, `proxy`, and `VM/caller`, `VM/inner`, `VM/admin`.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// A running system; everything ends when it is dropped.
pub struct Cluster {
    pub view: View,
    pub processes: BTreeMap<String, Process>,
    control: Mutex<Option<BufReader<TcpStream>>>,
    directory: tempfile::TempDir,
}

/// Takes a file's access away from everyone else.
pub fn protect(file: &Path) {
    let mode = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(file, mode).expect("a file of our own");
}

/// Waits for a condition; panics with its name if it does not come.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

impl Setup {
    /// Starts the processes and waits until every entry VM is ready.
    pub fn start(self) -> Cluster {
        let mut cluster = Cluster {
            view: View {
                setup: self,
                addresses: BTreeMap::new(),
            },
            processes: BTreeMap::new(),
            control: Mutex::new(None),
            directory: tempfile::tempdir().expect("a directory"),
        };
        let key = cluster.directory.path().join("deployment.key");
        std::fs::write(&key, "0123456789abcdef0123456789abcdef").expect("a file");
        protect(&key);
        cluster.start_stand_ins();
        for vm in cluster.vms() {
            cluster.open_vm_links(&vm);
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

    fn names(&self, kind: &str, each: usize) -> Vec<String> {
        let count = 1..=self.data_centres * each;
        count.map(|number| format!("{kind}-{number}")).collect()
    }
}

impl Deref for Cluster {
    type Target = View;

    fn deref(&self) -> &View {
        &self.view
    }
}

impl DerefMut for Cluster {
    fn deref_mut(&mut self) -> &mut View {
        &mut self.view
    }
}

impl Cluster {
    /// Returns the data centre of the `number`th process of a kind with `each` in a data centre.
    fn data_centre(name: &str, each: usize) -> String {
        let number = name.rsplit('-').next().and_then(|n| n.parse().ok());
        let number: usize = number.unwrap_or(1);
        format!("dc-{}", (number - 1) / each.max(1) + 1)
    }

    fn start_stand_ins(&mut self) {
        self.start_fake("proxy", "proxy");
        let control = TcpStream::connect(self.addresses["proxy"]).expect("the proxy listens");
        *self.control.lock().unwrap() = Some(BufReader::new(control));
        self.start_fake("platform", "platform");
        for engine in self.engines() {
            self.start_fake("engine", &engine);
        }
        for service in self.services() {
            self.start_fake("service", &service);
        }
        for target in [self.engines(), self.services()].concat() {
            self.link(&target, "tcp", &target, free_address());
        }
    }

    /// Starts a stand-in, again at its former address if it had one.
    pub fn start_fake(&mut self, kind: &str, name: &str) {
        let address = *self
            .addresses
            .entry(name.into())
            .or_insert_with(free_address);
        let mut arguments = vec![kind.to_owned(), "--listen".into(), address.to_string()];
        if kind == "engine" {
            let seed = self.seed(name).to_string();
            let models = format!("{MODEL}@1");
            let own = ["--name", name, "--seed", &seed, "--models", &models];
            arguments.extend(own.map(str::to_owned));
            arguments.extend(self.setup.engine_arguments.iter().cloned());
        }
        let process = Process::start(env!("CARGO_BIN_EXE_mastictrail-fakes"), &arguments);
        self.processes.insert(name.into(), process);
        wait_until(&format!("{name} listens"), || {
            TcpStream::connect(address).is_ok()
        });
    }

    fn open_vm_links(&mut self, vm: &str) {
        for part in ["caller", "inner", "admin"] {
            let name = format!("{vm}/{part}");
            self.addresses.insert(name, free_address());
        }
        let inner = free_address();
        let upstream = format!("{vm}/inner");
        self.link(vm, "tcp", &upstream, inner);
        self.link(vm, "udp", &upstream, inner);
        self.link(&format!("platform/{vm}"), "tcp", "platform", free_address());
    }

    /// Opens a link of the proxy; its address is stored as `link:NAME`.
    fn link(&mut self, name: &str, protocol: &str, upstream: &str, listen: SocketAddr) {
        let upstream = self.addresses[upstream];
        self.proxy(&format!("{protocol} {name} {listen} {upstream}"));
        self.addresses.insert(format!("link:{name}"), listen);
    }

    /// Gives the proxy an order; links are named as the process behind them, `platform/VM` for the
    /// way of an entry VM to the platform.
    pub fn proxy(&self, order: &str) -> String {
        let mut control = self.control.lock().unwrap();
        let control = control.as_mut().expect("the proxy runs");
        writeln!(control.get_mut(), "{order}").expect("the proxy takes an order");
        let mut answer = String::new();
        control.read_line(&mut answer).expect("the proxy answers");
        let answer = answer.trim().strip_prefix("ok").map(str::trim);
        answer.unwrap_or_else(|| panic!("{order}: refused")).into()
    }

    /// Starts an entry VM, again at its former addresses if it ran before.
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
        std::fs::write(&settings, text).expect("a file");
        let arguments = ["serve".to_owned(), settings.display().to_string()];
        let process = Process::start(env!("CARGO_BIN_EXE_mastictrail"), &arguments);
        self.processes.insert(vm.into(), process);
    }

    /// Ends an entry VM if it still runs, starts it again and waits until it is ready.
    pub fn start_again(&mut self, vm: &str) {
        self.process(vm).kill();
        self.start_vm(vm);
        self.wait_until_ready(vm);
    }

    fn wait_until_ready(&mut self, vm: &str) {
        wait_until(&format!("{vm} is ready"), || {
            assert!(self.process(vm).ended().is_none(), "{vm} has ended");
            self.is_ready(vm)
        });
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process runs")
    }

    /// Returns the log of an entry VM.
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.log_path(vm)).unwrap_or_default()
    }

    pub fn log_path(&self, vm: &str) -> PathBuf {
        self.directory.path().join(format!("{vm}.log"))
    }
}

impl Drop for Cluster {
    /// Shows the last lines of each log if the test failed.
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
