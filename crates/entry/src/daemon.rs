//! The process of one entry VM: start and planned stop.

use {
    crate::{
        Context, Error, admin, cache, caller,
        configuration::{self, Configuration},
        context::Identity,
        drain::Drain,
        gossip::{self, Gossip},
        inner,
        metrics::Metrics,
        observed::Probes,
        orders::{self, Orders},
        owner::{self, Registry},
        probe,
        router::{self, Router},
        runtime::Runtime,
        secret,
        session::Sessions,
    },
    arc_swap::ArcSwap,
    base::{Clock, clock, key},
    config::Settings,
    smol::{Async, Timer, net::TcpListener},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// Delay between giving up readiness and closing the listener, for the load balancer to notice.
pub const LEAVE_DELAY: Duration = Duration::from_secs(2);
/// Longest wait for the handover of records, and then for the calls that waited for it.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the check for work in flight during a planned stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
}

impl Daemon {
    /// Binds the configured addresses and starts all tasks.
    ///
    /// # Errors
    /// Returns an error if the key file is unusable, an address can't be bound, the routing policy
    /// is unknown or the metrics can't be set up.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let key = secret::read(&settings.keys.deployment)?;
        Self::with_key(settings, key).await
    }

    /// Starts with the given deployment key instead of one read from a file.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound, the routing policy is unknown or the metrics
    /// can't be set up.
    pub async fn with_key(settings: Settings, key: Box<[u8]>) -> Result<Self, Error> {
        let caller = bind(settings.listen.caller).await?;
        let inner = bind(settings.listen.inner).await?;
        let admin = bind(settings.listen.admin).await?;
        let socket = gossip::bind(settings.listen.inner)?;
        let context = Arc::new(build(settings, key, socket)?);
        context.spawn(caller::listen(Arc::clone(&context), caller));
        context.spawn(inner::listen(Arc::clone(&context), inner));
        context.spawn(admin::listen(Arc::clone(&context), admin));
        context.spawn(configuration::run(Arc::clone(&context)));
        context.spawn(configuration::poll_vm_list(Arc::clone(&context)));
        context.spawn(gossip::receive(Arc::clone(&context)));
        context.spawn(gossip::run(Arc::clone(&context)));
        context.spawn(orders::run(Arc::clone(&context)));
        context.spawn(owner::run(Arc::clone(&context)));
        context.spawn(probe::run(Arc::clone(&context)));
        context.spawn(cache::run(Arc::clone(&context)));
        context.spawn(router::tick(Arc::clone(&context)));
        Ok(Self { context })
    }

    /// Returns the state shared by the daemon's tasks.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Performs a planned stop: gives up readiness, closes the listener, drains the work in flight
    /// and hands over the records.
    ///
    /// Returns whether all work ended in time.
    pub async fn stop(&self) -> bool {
        let drain = &self.context.drain;
        drain.start();
        gossip::handle(&self.context, fleet::Event::Leave);
        log::info!(target: "stop", connections = drain.in_flight(); "planned stop started");
        Timer::after(LEAVE_DELAY).await;
        drain.close();
        let deadline = self.context.now() + self.context.settings.limits.drain_timeout;
        while drain.in_flight() > 0 && self.context.now() < deadline {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        owner::hand_over(&self.context, HANDOVER_TIMEOUT).await;
        let deadline = self.context.now() + HANDOVER_TIMEOUT;
        while drain.in_flight() > 0 && self.context.now() < deadline {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        log::info!(target: "stop", connections = drain.in_flight(); "planned stop ended");
        drain.in_flight() == 0
    }

    /// Stops all tasks at once; for entry VMs embedded in another process.
    pub fn kill(&self) {
        self.context.runtime.stop();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::listen(address, error))
}

fn build(settings: Settings, key: Box<[u8]>, socket: Async<UdpSocket>) -> Result<Context, Error> {
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let identity = Identity {
        vm: key::Vm::of(&settings.vm.name),
        data_centre: key::DataCentre::of(&settings.vm.data_centre),
        name: settings.vm.name.clone(),
        incarnation: started.as_micros() as u64,
    };
    let policy = route::policies::make(
        &settings.routing.policy,
        identity.incarnation,
        identity.data_centre,
    )
    .ok_or_else(|| unknown_policy(&settings))?;
    let clock = clock::System::new();
    let now = clock.now();
    Ok(Context {
        configuration: Configuration::new(now, &settings, &identity),
        orders: Orders::new(now, &identity),
        gossip: Gossip::new(now, &settings, &identity, socket),
        registry: Registry::new(identity.vm, identity.incarnation, &settings),
        clock: Arc::new(clock),
        identity,
        key,
        deployment: ArcSwap::default(),
        router: Router::new(policy),
        probes: Probes::default(),
        metrics: Metrics::new(&settings.vm.name)?,
        sessions: Sessions::default(),
        drain: Drain::default(),
        runtime: Runtime::start(settings.limits.threads),
        settings,
    })
}

fn unknown_policy(settings: &Settings) -> Error {
    let permitted = route::policies::NAMES.join(", ");
    let policy = &settings.routing.policy;
    Error::new(format!(
        "[routing] policy: `{policy}` is unknown; permitted: {permitted}"
    ))
}
