//! Lifecycle of a gateway process: startup, reload and graceful shutdown.

use {
    crate::{
        Shared,
        clients::{buffer::Budget, listener},
        control::{
            admin::{self, Audience},
            configuration,
            confirmation::Confirmation,
            cordon::Cordon,
            current::Current,
            discovery,
            drain::Drain,
            fleet::Fleet,
            history::History,
            inquiry, probation,
            quarantine::{self, Quarantine},
            reach::{self, Reach},
            reports, transfer,
        },
        metrics::Metrics,
        targets::{client::Client, directory::Directory, dispatcher::Dispatcher},
        tunnel::{self, Tunnels},
    },
    arc_swap::ArcSwap,
    base::{Clock as _, Instant, clock, key},
    config::Gateway,
    dispatch::budget::Policy,
    entry::{Error, logs, runtime::Runtime},
    platform::Store,
    smol::{Async, Timer, net::TcpListener},
    std::{
        net::{SocketAddr, SocketAddrV4, UdpSocket},
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Duration of a drain's first part, in which new connections are still expected.
///
/// The load balancer removes a VM after two failed health checks, which it makes once a second; the
/// rest is a margin. Half of the grace period is the upper bound.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);
/// Time after the stop signal in which an estimate decides whether a request is taken.
const ESTIMATE_TIME: Duration = Duration::from_millis(2_900);
/// Time between the end of the drain and of the process, for responses to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Part of the grace period that is left after the drain to close connections and exit.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// Interval between checks of what is in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A running gateway.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
}

impl Daemon {
    /// Binds the configured addresses and starts all tasks.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound, the one for peers is not IPv4 or the metrics
    /// can't be set up.
    pub async fn start(settings: Gateway, log: logs::Queue) -> Result<Self, Error> {
        let listen = settings.listen.clone();
        let clients = bind(listen.clients).await?;
        let mut admin_listeners = Vec::new();
        for (address, audience) in [
            (listen.readiness, Audience::Machines),
            (listen.control, Audience::Machines),
            (listen.metrics, Audience::Operators),
        ] {
            admin_listeners.push((bind(address).await?, audience));
        }
        let tunnels = bind(listen.peers).await?;
        let store_address = settings.platform.address;
        let shared = Arc::new(build(settings)?);
        shared.metrics.watch_log(log);
        let store = Arc::new(Store::new(store_address, Box::new(shared.client.clone())));
        let runtime = &shared.runtime;
        for (listener, audience) in admin_listeners {
            runtime
                .spawn(admin::listen(Arc::clone(&shared), listener, audience))
                .detach();
        }
        runtime
            .spawn(configuration::watch(
                Arc::clone(&shared),
                Arc::clone(&store),
            ))
            .detach();
        runtime
            .spawn(configuration::replicate(
                Arc::clone(&shared),
                Arc::clone(&store),
            ))
            .detach();
        runtime
            .spawn(discovery::run(Arc::clone(&shared), Arc::clone(&store)))
            .detach();
        runtime
            .spawn(discovery::confirm(Arc::clone(&shared), store))
            .detach();
        runtime
            .spawn(discovery::expire_targets(Arc::clone(&shared)))
            .detach();
        runtime.spawn(inquiry::run(Arc::clone(&shared))).detach();
        runtime.spawn(reach::run(Arc::clone(&shared))).detach();
        runtime
            .spawn(tunnel::listener::listen(Arc::clone(&shared), tunnels))
            .detach();
        runtime.spawn(quarantine::run(Arc::clone(&shared))).detach();
        if shared.dispatcher.has_probation() {
            runtime.spawn(probation::run(Arc::clone(&shared))).detach();
        }
        runtime
            .spawn(reports::receive(Arc::clone(&shared)))
            .detach();
        runtime.spawn(reports::send(Arc::clone(&shared))).detach();
        runtime
            .spawn(reports::announce_watch(Arc::clone(&shared)))
            .detach();
        runtime
            .spawn(reports::send_limits(Arc::clone(&shared)))
            .detach();
        runtime
            .spawn(reports::send_summaries(Arc::clone(&shared)))
            .detach();
        runtime
            .spawn(listener::listen(Arc::clone(&shared), clients))
            .detach();
        log::info!(target: "start", incarnation = shared.fleet.incarnation(); "started");
        Ok(Self { shared })
    }

    /// Applies reloaded settings; the bound addresses, the thread count, whether data centres may
    /// be cordoned, the time of probation and the number of kept places stay as they are.
    pub fn reload(&self, settings: Gateway) {
        log::info!(target: "reload", seeds = settings.seeds.len(); "settings reloaded");
        self.shared.settings.store(Arc::new(settings));
    }

    /// Drains the process: reports unready immediately, then waits for what is in progress.
    pub async fn stop(&self) {
        let shared = &self.shared;
        let drain = &shared.drain;
        let started = shared.now();
        let grace = shared.settings.load().promises.grace;
        let end = started + grace.saturating_sub(GRACE_RESERVE);
        let first_part = MIN_DRAIN_TIME.min(grace / 2);
        drain.start(dispatch::Drain {
            first_part_end: started + first_part.min(ESTIMATE_TIME),
            end,
        });
        log::info!(target: "stop", in_flight = drain.in_flight(), connections = drain.connections(); "draining");
        Timer::after(first_part).await;
        drain.close_connections();
        self.wait_until(end, || drain.connections() == 0).await;
        drain.refuse_all(shared.now());
        // A request may have been taken just before.
        self.wait_until(end, || drain.in_flight() == 0).await;
        drain.end();
        Timer::after(FLUSH_DELAY).await;
        log::info!(target: "stop", in_flight = drain.in_flight(), connections = drain.connections(); "stopped");
    }

    /// Waits for a condition until `deadline` at the latest.
    async fn wait_until(&self, deadline: Instant, condition: impl Fn() -> bool) {
        while !condition() && self.shared.now() < deadline {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Error::listen(address, error))
}

/// Binds the UDP socket for reports and creates the shared state.
fn build(settings: Gateway) -> Result<Shared, Error> {
    let peers = settings.listen.peers;
    let SocketAddr::V4(own_address) = peers else {
        return Err(Error::new(format!(
            "[listen] peers: {peers} is no IPv4 address"
        )));
    };
    let socket = UdpSocket::bind(peers).and_then(Async::new);
    let socket = socket.map_err(|error| Error::listen(peers, error))?;
    let incarnation = rand::random();
    let own = u64::from(u32::from(*own_address.ip()));
    let has_seeds = settings
        .seeds
        .iter()
        .any(|seed| seed.ip() != *own_address.ip());
    let clock = clock::System::new();
    let cold = dispatch::Cold::new(own, has_seeds, clock.now());
    let runtime = Runtime::start(settings.limits.threads);
    let promises = &settings.promises;
    let budget_policy = Policy {
        ratio: promises.retry_ratio,
        extra: promises.retry_extra,
        window: promises.retry_window,
    };
    let probation = dispatch::Probation::new(promises.probation);
    Ok(Shared {
        clock: Arc::new(clock),
        client: Client::new(
            runtime.clone(),
            settings.limits.connect_timeout,
            settings.targets.source,
        ),
        runtime,
        current: Current::default(),
        cordon: Cordon::new(promises.cordon.is_some()),
        sender: transfer::Sender::default(),
        directory: Directory::default(),
        history: History::default(),
        confirmation: Confirmation::default(),
        dispatcher: Dispatcher::new(
            incarnation,
            budget_policy,
            cold,
            probation,
            settings.limits.kept_places as usize,
        ),
        fleet: Fleet::new(
            socket,
            SocketAddrV4::new(*own_address.ip(), own_address.port()),
            incarnation,
            key::DataCentre::of(&settings.vm.data_centre).raw(),
            settings.limits.link_mbps.ceil() as u32,
        ),
        reach: Reach::new(incarnation),
        tunnels: Tunnels::default(),
        origins: Mutex::default(),
        quarantine: Quarantine::new(dispatch::Quarantine::new(
            dispatch::quarantine::Policy {
                duration: settings.quarantine.duration,
                max_duration: settings.quarantine.max_duration,
            },
            incarnation,
        )),
        buffers: Arc::new(Budget::new(settings.limits.memory_mb)),
        drain: Arc::new(Drain::default()),
        metrics: Metrics::new(&settings.vm.name)?,
        settings: ArcSwap::from_pointee(settings),
    })
}
