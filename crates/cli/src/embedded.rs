//! An embedded cluster: entry VMs with fake engines, plain service and platform in one process.

use {
    crate::client::{self, BoxError},
    config::{
        Settings,
        settings::{Listen, Platform, Vm},
    },
    entry::{Daemon, Error},
    fakes::{engine, platform, service},
    sha2::{Digest, Sha256},
    smol::{Timer, net::TcpListener},
    std::{
        fmt::Write,
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener as StdListener},
        time::{Duration, Instant},
    },
};

/// Name of the model service.
pub const MODEL_SERVICE: &str = "kucharz";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "receptury";
/// Name of the only model, which every engine serves.
pub const MODEL: &str = "batch-sheet";
/// API key of the only customer of the default [`Spec`].
pub const CUSTOMER_KEY: &str = "night-shift-key";
/// Header with the operation id under which the fake plain service counts runs.
pub const OPERATION_HEADER: &str = "x-operation";

/// Longest wait until all entry VMs are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two readiness checks of an entry VM.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const DATA_CENTRE: &str = "wlkp-a";
/// Key shared by the entry VMs of an embedded cluster; not a secret.
const DEPLOYMENT_KEY: &[u8] = b"embedded stand-ins only, no secret";
/// Number of threads of each entry VM.
const VM_THREADS: u32 = 1;

/// Specification of an embedded cluster.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Settings of each fake engine.
    pub engines: Vec<engine::Settings>,
    /// Number of entry VMs.
    pub vms: usize,
    /// Routing policy of the entry VMs.
    pub policy: Box<str>,
    /// Caller address of the first entry VM; a free one if `None`.
    pub caller_address: Option<SocketAddr>,
    /// Request classes of the model service, as `[class]` sections of the deployment.
    pub classes: Box<str>,
    /// Customers of the deployment.
    pub customers: Vec<Customer>,
}

/// A customer of the deployment.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: Box<str>,
    /// API key; the deployment contains only its digest.
    pub key: Box<str>,
    /// Weight of the customer in the queue.
    pub weight: u32,
}

/// Returns the request classes of the default [`Spec`].
fn default_classes() -> Box<str> {
    format!(
        "[class {MODEL_SERVICE} draft]\npriority = 1\n\
         [class {MODEL_SERVICE} lookup]\npriority = 5\nheadroom = 0.1\nmax_tokens = 256\n"
    )
    .into()
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            engines: vec![engine::Settings::default(); 2],
            vms: 2,
            policy: config::settings::Routing::default().policy,
            caller_address: None,
            classes: default_classes(),
            customers: vec![Customer {
                name: "night-shift".into(),
                key: CUSTOMER_KEY.into(),
                weight: 1,
            }],
        }
    }
}

/// A running embedded cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Caller addresses, one per entry VM.
    pub caller_addresses: Vec<SocketAddr>,
    /// Admin addresses, one per entry VM.
    pub admin_addresses: Vec<SocketAddr>,
    /// Addresses of the fake engines.
    pub engine_addresses: Vec<SocketAddr>,
    /// Address of the fake plain service.
    pub service_address: SocketAddr,
    /// Address of the fake platform.
    pub platform_address: SocketAddr,
    daemons: Vec<Daemon>,
    fake_tasks: FakeTasks,
}

impl Cluster {
    /// Starts the fakes, publishes the deployment and starts the entry VMs.
    ///
    /// # Errors
    /// Returns an error that names the address at fault.
    pub async fn start(spec: Spec) -> Result<Self, Error> {
        let mut fake_tasks = Vec::new();
        let engine_addresses = start_engines(&spec, &mut fake_tasks).await?;
        let (listener, service_address) = listen().await?;
        fake_tasks.push(smol::spawn(service::serve(
            listener,
            service::Settings::default(),
        )));
        let listen_addresses = (0..spec.vms)
            .map(|_| free_addresses())
            .collect::<io::Result<Vec<_>>>()
            .map_err(|error| Error::new(error.to_string()))?;
        let deployment =
            render_deployment(&spec, &listen_addresses, &engine_addresses, service_address);
        let platform_address = start_platform(deployment, &mut fake_tasks).await?;
        let mut cluster = Self {
            caller_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            engine_addresses,
            service_address,
            platform_address,
            daemons: Vec::new(),
            fake_tasks,
        };
        for (index, mut listen) in listen_addresses.into_iter().enumerate() {
            if let (0, Some(address)) = (index, spec.caller_address) {
                listen.caller = address;
            }
            cluster.start_daemon(&spec, index, listen).await?;
        }
        Ok(cluster)
    }

    /// Waits until every entry VM is ready.
    ///
    /// # Errors
    /// Returns an error if a VM does not respond, or is not ready before the timeout.
    pub async fn wait_until_ready(&self) -> Result<(), BoxError> {
        let started = Instant::now();
        for &admin in &self.admin_addresses {
            while client::get(admin, "/ready").await?.status != 200 {
                if started.elapsed() > READY_TIMEOUT {
                    return Err("the entry VMs did not become ready in time".into());
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Drains and stops the entry VMs; returns whether all work in flight ended in time.
    pub async fn stop(&self) -> bool {
        let mut is_drained = true;
        for daemon in &self.daemons {
            is_drained &= daemon.stop().await;
        }
        is_drained
    }

    /// Stops all entry VMs and fakes at once, without draining.
    pub async fn kill(self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        for task in self.fake_tasks {
            task.cancel().await;
        }
    }

    async fn start_daemon(
        &mut self,
        spec: &Spec,
        index: usize,
        listen: Listen,
    ) -> Result<(), Error> {
        self.caller_addresses.push(listen.caller);
        self.admin_addresses.push(listen.admin);
        let mut settings = Settings {
            vm: Vm {
                name: vm_name(index).into(),
                data_centre: DATA_CENTRE.into(),
                peers: Vec::new(),
            },
            listen,
            platform: Platform {
                address: self.platform_address,
                ..Platform::default()
            },
            ..Settings::default()
        };
        settings.limits.threads = VM_THREADS;
        settings.routing.policy = spec.policy.clone();
        let daemon = Daemon::with_key(settings, DEPLOYMENT_KEY.into()).await?;
        self.daemons.push(daemon);
        Ok(())
    }
}

/// Server tasks of the fakes.
type FakeTasks = Vec<smol::Task<io::Result<()>>>;

async fn start_engines(spec: &Spec, fake_tasks: &mut FakeTasks) -> Result<Vec<SocketAddr>, Error> {
    let mut addresses = Vec::new();
    for (index, settings) in spec.engines.iter().enumerate() {
        let (listener, address) = listen().await?;
        let settings = engine::Settings {
            name: engine_name(index).into(),
            ..settings.clone()
        };
        fake_tasks.push(smol::spawn(engine::serve(listener, settings)));
        addresses.push(address);
    }
    Ok(addresses)
}

async fn start_platform(
    deployment: String,
    fake_tasks: &mut FakeTasks,
) -> Result<SocketAddr, Error> {
    let (listener, address) = listen().await?;
    let settings = platform::Settings {
        value: Some((1, deployment.into())),
        ..platform::Settings::default()
    };
    fake_tasks.push(smol::spawn(platform::serve(listener, settings)));
    Ok(address)
}

async fn listen() -> Result<(TcpListener, SocketAddr), Error> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any)
        .await
        .map_err(|error| Error::listen(any, error))?;
    let address = listener
        .local_addr()
        .map_err(|error| Error::listen(any, error))?;
    Ok((listener, address))
}

/// Finds free addresses for the listeners of one entry VM.
///
/// All of them stay bound until the last one is found, so that they differ.
fn free_addresses() -> io::Result<Listen> {
    let listeners = [(); 3].map(|()| StdListener::bind((Ipv4Addr::LOCALHOST, 0)));
    let [caller, inner, admin] = listeners;
    Ok(Listen {
        caller: caller?.local_addr()?,
        inner: inner?.local_addr()?,
        admin: admin?.local_addr()?,
    })
}

fn vm_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn engine_name(index: usize) -> String {
    format!("{MODEL_SERVICE}-{}", index + 1)
}

/// Returns the deployment as text, in the form in which it is published.
fn render_deployment(
    spec: &Spec,
    listen_addresses: &[Listen],
    engine_addresses: &[SocketAddr],
    service_address: SocketAddr,
) -> String {
    let classes = &spec.classes;
    let mut text = format!(
        "[deployment]\nname = demo\nversion = 1\n\
         [data_centre {DATA_CENTRE}]\nregion = wlkp\n\
         [model {MODEL}]\nversion = 1\nweight = 1GiB\n\
         [service {MODEL_SERVICE}]\nkind = model\nmodels = {MODEL}\n\
         {classes}\
         [service {PLAIN_SERVICE}]\nkind = plain\n\
         [route {PLAIN_SERVICE} release]\nmethod = POST\npath = /releases\nidempotent = no\n\
         [target {PLAIN_SERVICE}-1]\nservice = {PLAIN_SERVICE}\ndata_centre = {DATA_CENTRE}\n\
         address = {service_address}\n"
    );
    for customer in &spec.customers {
        let digest = Sha256::digest(customer.key.as_bytes());
        let (name, weight) = (&customer.name, customer.weight);
        let _ = write!(
            text,
            "[customer {name}]\nkey_sha256 = {digest:x}\nweight = {weight}\n"
        );
    }
    for (index, listen) in listen_addresses.iter().enumerate() {
        let (name, inner) = (vm_name(index), listen.inner);
        let _ = write!(
            text,
            "[vm {name}]\ndata_centre = {DATA_CENTRE}\ninner = {inner}\n"
        );
    }
    for (index, (address, engine)) in engine_addresses.iter().zip(&spec.engines).enumerate() {
        let name = engine_name(index);
        let (memory, batch) = (engine.memory_tokens, engine.max_batch);
        let _ = write!(
            text,
            "[target {name}]\nservice = {MODEL_SERVICE}\ndata_centre = {DATA_CENTRE}\n\
             address = {address}\nmemory_tokens = {memory}\nweights = 16GiB\nfencing = checked\n\
             concurrency = {batch}\n"
        );
    }
    text
}
