//! The whole path in one process: stand-ins, and entry VMs that serve through them.

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
        net::{Ipv4Addr, SocketAddr, TcpListener as Probe},
        time::{Duration, Instant},
    },
};

/// Name of the model service.
pub const MODEL_SERVICE: &str = "kucharz";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "receptury";
/// Name of the only model.
pub const MODEL: &str = "batch-sheet";
/// Key of the only customer, if the plan names no others.
pub const CUSTOMER_KEY: &str = "night-shift-key";
/// Header that names an operation to the plain service's run counter.
pub const OPERATION: &str = "x-operation";

/// Longest wait for the entry VMs to have a configuration.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time between two questions whether an entry VM is ready.
const READY_POLL: Duration = Duration::from_millis(20);
const DATA_CENTRE: &str = "wlkp-a";
const DEPLOYMENT_KEY: &[u8] = b"embedded stand-ins only, no secret";
const THREADS: u32 = 1;

/// What to start.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Settings of each engine.
    pub engines: Vec<engine::Settings>,
    /// Number of entry VMs.
    pub vms: usize,
    /// Routing policy of the entry VMs.
    pub policy: Box<str>,
    /// Address of the first entry VM for callers; a free one if `None`.
    pub caller: Option<SocketAddr>,
    /// Classes of the model service, as sections of the deployment.
    pub classes: Box<str>,
    /// Customers.
    pub customers: Vec<Customer>,
}

/// A customer of the deployment.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// Its key.
    pub key: Box<str>,
    /// Its weight.
    pub weight: u32,
}

/// Classes of the model service if the plan names no others.
fn classes() -> Box<str> {
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
            caller: None,
            classes: classes(),
            customers: vec![Customer {
                name: "night-shift".into(),
                key: CUSTOMER_KEY.into(),
                weight: 1,
            }],
        }
    }
}

/// A running path.
#[derive(Debug)]
pub struct Cluster {
    /// Addresses for callers, one per entry VM.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses for operators, one per entry VM.
    pub admin_addresses: Vec<SocketAddr>,
    /// Addresses of the engines.
    pub engine_addresses: Vec<SocketAddr>,
    /// Address of the plain service.
    pub service_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    daemons: Vec<Daemon>,
    stand_ins: StandIns,
}

impl Cluster {
    /// Starts everything in this process.
    ///
    /// # Errors
    /// Returns an error that names the address at fault.
    pub async fn start(plan: Spec) -> Result<Self, Error> {
        let mut stand_ins = Vec::new();
        let engines = start_engines(&plan, &mut stand_ins).await?;
        let (listener, service) = listen().await?;
        stand_ins.push(smol::spawn(service::serve(
            listener,
            service::Settings::default(),
        )));
        let listens = (0..plan.vms)
            .map(|_| free_addresses())
            .collect::<io::Result<Vec<_>>>()
            .map_err(|error| Error::new(error.to_string()))?;
        let value = value(&plan, &listens, &engines, service);
        let platform = start_platform(value, &mut stand_ins).await?;
        let mut path = Self {
            caller_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            engine_addresses: engines,
            service_address: service,
            platform_address: platform,
            daemons: Vec::new(),
            stand_ins,
        };
        for (index, mut listen) in listens.into_iter().enumerate() {
            if let (0, Some(caller)) = (index, plan.caller) {
                listen.caller = caller;
            }
            path.start_daemon(&plan, index, listen).await?;
        }
        Ok(path)
    }

    /// Waits until every entry VM serves.
    ///
    /// # Errors
    /// Returns an error if one does not answer, or does not become ready.
    pub async fn wait_until_ready(&self) -> Result<(), BoxError> {
        let started = Instant::now();
        for &admin in &self.admin_addresses {
            while client::get(admin, "/ready").await?.status != 200 {
                if started.elapsed() > READY_LIMIT {
                    return Err("the entry VMs are not ready".into());
                }
                Timer::after(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Stops the entry VMs as planned; returns whether all work in flight ended.
    pub async fn stop(&self) -> bool {
        let mut ended = true;
        for daemon in &self.daemons {
            ended &= daemon.stop().await;
        }
        ended
    }

    /// Ends everything at once.
    pub async fn kill(self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        for stand_in in self.stand_ins {
            stand_in.cancel().await;
        }
    }

    async fn start_daemon(
        &mut self,
        plan: &Spec,
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
        settings.limits.threads = THREADS;
        settings.routing.policy = plan.policy.clone();
        let daemon = Daemon::with_key(settings, DEPLOYMENT_KEY.into()).await?;
        self.daemons.push(daemon);
        Ok(())
    }
}

type StandIns = Vec<smol::Task<io::Result<()>>>;

async fn start_engines(plan: &Spec, stand_ins: &mut StandIns) -> Result<Vec<SocketAddr>, Error> {
    let mut addresses = Vec::new();
    for (index, settings) in plan.engines.iter().enumerate() {
        let (listener, address) = listen().await?;
        let settings = engine::Settings {
            name: engine_name(index).into(),
            ..settings.clone()
        };
        stand_ins.push(smol::spawn(engine::serve(listener, settings)));
        addresses.push(address);
    }
    Ok(addresses)
}

async fn start_platform(value: String, stand_ins: &mut StandIns) -> Result<SocketAddr, Error> {
    let (listener, address) = listen().await?;
    let settings = platform::Settings {
        value: Some((1, value.into())),
        ..platform::Settings::default()
    };
    stand_ins.push(smol::spawn(platform::serve(listener, settings)));
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

/// Finds three free addresses; all are held until the last is found, so that they differ.
fn free_addresses() -> io::Result<Listen> {
    let probes = [(); 3].map(|()| Probe::bind((Ipv4Addr::LOCALHOST, 0)));
    let [caller, inner, admin] = probes;
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

/// Writes the deployment's published value.
fn value(plan: &Spec, listens: &[Listen], engines: &[SocketAddr], service: SocketAddr) -> String {
    let classes = &plan.classes;
    let mut text = format!(
        "[deployment]\nname = demo\nversion = 1\n\
         [data_centre {DATA_CENTRE}]\nregion = wlkp\n\
         [model {MODEL}]\nversion = 1\nweight = 1GiB\n\
         [service {MODEL_SERVICE}]\nkind = model\nmodels = {MODEL}\n\
         {classes}\
         [service {PLAIN_SERVICE}]\nkind = plain\n\
         [route {PLAIN_SERVICE} release]\nmethod = POST\npath = /releases\nidempotent = no\n\
         [target {PLAIN_SERVICE}-1]\nservice = {PLAIN_SERVICE}\ndata_centre = {DATA_CENTRE}\n\
         address = {service}\n"
    );
    for customer in &plan.customers {
        let digest = Sha256::digest(customer.key.as_bytes());
        let (name, weight) = (&customer.name, customer.weight);
        let _ = write!(
            text,
            "[customer {name}]\nkey_sha256 = {digest:x}\nweight = {weight}\n"
        );
    }
    for (index, listen) in listens.iter().enumerate() {
        let (name, inner) = (vm_name(index), listen.inner);
        let _ = write!(
            text,
            "[vm {name}]\ndata_centre = {DATA_CENTRE}\ninner = {inner}\n"
        );
    }
    for (index, (address, engine)) in engines.iter().zip(&plan.engines).enumerate() {
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
