//! One gateway process: start, run, reload, planned stop.

use {
    crate::{
        Shared,
        clients::listener,
        control::{
            admin, configuration, current::Current, discovery, drain::Drain, fleet::Fleet, inquiry,
            reports,
        },
        metrics::Metrics,
        targets::{client::Client, directory::Directory, dispatcher::Dispatcher},
    },
    arc_swap::ArcSwap,
    base::{clock, key},
    config::Gateway,
    dispatch::budget::Policy,
    entry::{Error, logs, runtime::Runtime},
    platform::Store,
    smol::{Async, Timer, net::TcpListener},
    std::{
        net::{SocketAddr, SocketAddrV4, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

/// Time in which new connections still come after a stop began: two misses of the load balancer,
/// which asks once a second, and a margin.
const LEAVE_DELAY: Duration = Duration::from_millis(3_200);
/// Time between the last answers and the end of the process, for their bytes to leave.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Part of the grace that is kept in reserve.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// Time between two looks at the requests in progress.
const DRAIN_POLL: Duration = Duration::from_millis(25);

/// A running process.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
}

impl Daemon {
    /// Binds the addresses of the settings and starts every task.
    ///
    /// # Errors
    /// Returns an error that names the address at fault.
    pub async fn start(settings: Gateway, log: logs::Queue) -> Result<Self, Error> {
        let listen = settings.listen.clone();
        let clients = bind(listen.clients).await?;
        let mut admin_listeners = Vec::new();
        for address in [listen.readiness, listen.control, listen.metrics] {
            admin_listeners.push(bind(address).await?);
        }
        let store_address = settings.platform.address;
        let shared = Arc::new(build(settings)?);
        shared.metrics.watch_log(log);
        let store = Arc::new(Store::new(store_address, Box::new(shared.client.clone())));
        let runtime = &shared.runtime;
        for listener in admin_listeners {
            runtime
                .spawn(admin::listen(Arc::clone(&shared), listener))
                .detach();
        }
        runtime
            .spawn(configuration::run(Arc::clone(&shared), Arc::clone(&store)))
            .detach();
        runtime
            .spawn(discovery::run(Arc::clone(&shared), store))
            .detach();
        runtime.spawn(discovery::tick(Arc::clone(&shared))).detach();
        runtime.spawn(inquiry::run(Arc::clone(&shared))).detach();
        runtime
            .spawn(reports::receive(Arc::clone(&shared)))
            .detach();
        runtime.spawn(reports::send(Arc::clone(&shared))).detach();
        runtime
            .spawn(reports::summarize(Arc::clone(&shared)))
            .detach();
        runtime
            .spawn(listener::listen(Arc::clone(&shared), clients))
            .detach();
        log::info!(target: "start", incarnation = shared.fleet.incarnation(); "started");
        Ok(Self { shared })
    }

    /// Takes settings that have changed; addresses and threads stay as they are.
    pub fn reload(&self, settings: Gateway) {
        log::info!(target: "reload", seeds = settings.seeds.len(); "the settings were read again");
        self.shared.settings.store(Arc::new(settings));
    }

    /// Stops as planned: unready at once, then waits for the requests in progress.
    pub async fn stop(&self) {
        let shared = &self.shared;
        let begun = shared.now();
        let grace = shared.settings.load().promises.grace;
        let end = begun + grace.saturating_sub(GRACE_RESERVE);
        shared.drain.leave(end);
        log::info!(target: "stop", in_flight = shared.drain.in_flight(); "leaving");
        let earliest = begun + LEAVE_DELAY.min(grace / 2);
        loop {
            let now = shared.now();
            if now >= end || now >= earliest && shared.drain.in_flight() == 0 {
                break;
            }
            Timer::after(DRAIN_POLL).await;
        }
        shared.drain.close();
        Timer::after(FLUSH_DELAY).await;
        log::info!(target: "stop", in_flight = shared.drain.in_flight(); "stopped");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Error::listen(address, error))
}

fn build(settings: Gateway) -> Result<Shared, Error> {
    let peers = settings.listen.peers;
    let SocketAddr::V4(own) = peers else {
        return Err(Error::new(format!(
            "[listen] peers: {peers} is no IPv4 address"
        )));
    };
    let socket = UdpSocket::bind(peers).and_then(Async::new);
    let socket = socket.map_err(|error| Error::listen(peers, error))?;
    let incarnation = rand::random();
    let runtime = Runtime::start(settings.limits.threads);
    let promises = &settings.promises;
    let terms = Policy {
        ratio: promises.retry_ratio,
        extra: promises.retry_extra,
        window: promises.retry_window,
    };
    Ok(Shared {
        clock: Arc::new(clock::System::new()),
        client: Client::new(runtime.clone(), settings.limits.connect_timeout),
        runtime,
        current: Current::default(),
        directory: Directory::default(),
        dispatcher: Dispatcher::new(incarnation, terms),
        fleet: Fleet::new(
            socket,
            SocketAddrV4::new(*own.ip(), own.port()),
            incarnation,
            key::DataCentre::of(&settings.vm.data_centre).raw(),
        ),
        drain: Arc::new(Drain::default()),
        metrics: Metrics::new(&settings.vm.name)?,
        settings: ArcSwap::from_pointee(settings),
    })
}
