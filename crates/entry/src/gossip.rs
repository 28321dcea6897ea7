//! Gossip over UDP: the membership protocol's datagrams and the effects of its events.

mod usage;

use {
    crate::{
        Context, Error, configuration,
        context::Identity,
        metrics::{Direction, Rejected},
        orders,
    },
    base::{Instant, Machine},
    config::Settings,
    derive_more::Debug,
    fleet::{Action, Event, Member, Membership, State, event::DEMAND_WINDOW, spread},
    log::Level,
    smol::{Async, Timer},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    usage::Usage,
    wire::{datagram, msg},
};

/// The membership protocol, its socket and this VM's usage of targets.
#[derive(Debug)]
pub struct Gossip {
    membership: Mutex<Membership>,
    usage: Mutex<Usage>,
    socket: Async<UdpSocket>,
}

impl Gossip {
    /// Creates the membership state of this process.
    pub fn new(
        now: Instant,
        settings: &Settings,
        identity: &Identity,
        socket: Async<UdpSocket>,
    ) -> Self {
        let membership = Membership::builder()
            .now(now)
            .name(&identity.name)
            .data_centre(&settings.vm.data_centre)
            .address(settings.listen.inner)
            .incarnation(identity.incarnation)
            .seed(identity.incarnation ^ identity.vm.raw())
            .seeds(settings.vm.peers.clone())
            .build();
        Self {
            membership: Mutex::new(membership),
            usage: Mutex::default(),
            socket,
        }
    }

    /// Locks this VM's usage counters.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the membership state.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds the UDP socket of the inner protocol.
///
/// # Errors
/// Returns an error that names the address.
pub fn bind(address: SocketAddr) -> Result<Async<UdpSocket>, Error> {
    Async::<UdpSocket>::bind(address).map_err(|error| Error::listen(address, error))
}

/// Receives datagrams until the process ends.
pub async fn receive(context: Arc<Context>) {
    let mut buffer = [0; datagram::MAX_LENGTH + 1];
    loop {
        let Ok((length, from)) = context.gossip.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match datagram::open(&context.key, &buffer[..length]) {
            Ok(message) => {
                let metrics = &context.metrics;
                metrics.count_control_bytes(Direction::Received, length);
                let vm = base::key::Vm::of(&message.vm);
                context.registry.record_announcement(
                    context.now(),
                    vm,
                    message.configuration_version,
                );
                let message = Box::new(message);
                handle(&context, Event::Received { from, message });
            }
            Err(error) => {
                context.metrics.count_rejected(Rejected::Datagram);
                log::debug!(target: "gossip", from:% = from, error:% = error; "refused an invalid datagram");
            }
        }
    }
}

/// Ticks the membership until the process ends.
///
/// Before each tick it passes this VM's usage to the membership, and after it the membership's
/// state to the policy and the configuration.
pub async fn run(context: Arc<Context>) {
    loop {
        Timer::after(fleet::membership::TICK).await;
        let now = context.now();
        let events = context.gossip.usage().flush(now);
        for event in events {
            handle(&context, event);
        }
        handle(&context, Event::Tick);
        let connected = is_connected(&context);
        context
            .router
            .handle(now, route::Event::PeersConnected(connected));
        let (rank, answer) = {
            let membership = context.gossip.membership();
            (membership.rank(), membership.peer_platform_answer(now))
        };
        let (rank, count) = rank;
        configuration::handle(&context, spread::Event::Rank { rank, count });
        if let Some((vm, age)) = answer {
            configuration::handle(&context, spread::Event::PlatformAnsweredPeer { vm, age });
        }
    }
}

/// Passes an event to the membership and performs the resulting actions.
pub fn handle(context: &Arc<Context>, event: Event) {
    let mut actions = Vec::new();
    context
        .gossip
        .membership()
        .handle(context.now(), event, &mut actions);
    for action in actions {
        perform(context, action);
    }
}

fn perform(context: &Arc<Context>, action: Action) {
    let now = context.now();
    match action {
        Action::Send { to, message } => send(context, to, &message),
        Action::Member(member) => {
            log_member(context, &member);
            let vms = count_vms(context);
            context.router.handle(now, route::Event::VmCount(vms));
        }
        Action::VersionAnnounced { peer, version } => {
            configuration::handle(context, spread::Event::VersionAnnounced { peer, version });
        }
        Action::Departure {
            target,
            leaving,
            observation,
        } => {
            let event = route::Event::Leaving { target, leaving };
            context.router.handle(now, event);
            orders::handle(context, place::Event::Leaving { target, leaving });
            log_departure(context, target, leaving, observation);
        }
        Action::PeerUsage {
            vm,
            target,
            requests,
            tokens,
        } => context.router.handle(
            now,
            route::Event::PeerUsage {
                vm,
                target,
                requests,
                tokens,
            },
        ),
        Action::PeerDemand {
            vm,
            customer,
            requests,
            in_flight,
        } => context.router.handle(
            now,
            route::Event::PeerDemand {
                vm,
                customer,
                requests_per_second: f64::from(requests) / DEMAND_WINDOW.as_secs_f64(),
                in_flight,
            },
        ),
        Action::Paused(duration) => {
            log::warn!(target: "pause", paused_ms = duration.as_millis() as u64; "the process was paused");
        }
        Action::Refreshed => log::info!(
            target: "pause", members = context.gossip.membership().members().count();
            "the membership view is fresh again"
        ),
    }
}

/// Sends a datagram without waiting; a full socket buffer drops it, which the protocol tolerates.
fn send(context: &Context, to: SocketAddr, message: &msg::Gossip) {
    match datagram::seal(&context.key, message) {
        Ok(bytes) => {
            let metrics = &context.metrics;
            metrics.count_control_bytes(Direction::Sent, bytes.len());
            let _ = context.gossip.socket.get_ref().send_to(&bytes, to);
        }
        Err(error) => {
            log::error!(target: "gossip", error:% = error; "can't seal a datagram");
        }
    }
}

/// Returns whether fewer than half of the other entry VMs of this data centre are alive.
pub fn is_isolated(context: &Context) -> bool {
    let snapshot = context.snapshot();
    let identity = &context.identity;
    let others = snapshot
        .vms
        .iter()
        .filter(|(key, vm)| *key != identity.vm && vm.data_centre == identity.data_centre)
        .count();
    let membership = context.gossip.membership();
    let alive = membership.members().filter(|member| member.is_alive());
    alive.count() * 2 < others
}

/// Counts the entry VMs that share the load: the available ones of this data centre, and all
/// configured ones of the others.
fn count_vms(context: &Context) -> u32 {
    let snapshot = context.snapshot();
    let own = context.identity.data_centre;
    let others = snapshot.vms.values().filter(|vm| vm.data_centre != own);
    let local = context.gossip.membership().available().count();
    (others.count() + local).max(1) as u32
}

/// Returns whether a peer of this data centre is alive in a fresh view, or there is no other VM.
fn is_connected(context: &Context) -> bool {
    if context.snapshot().vms.len() <= 1 {
        return true;
    }
    let membership = context.gossip.membership();
    membership.is_fresh() && membership.members().any(Member::is_alive)
}

fn log_member(context: &Context, member: &Member) {
    let level = match member.state {
        State::Live | State::Leaving => Level::Info,
        State::Suspect | State::Dead => Level::Warn,
    };
    log::log!(
        target: "member", level, member:% = member.name, state:% = member.state,
        incarnation = member.incarnation, configuration_version = context.snapshot().version;
        "the state of a member changed"
    );
}

fn log_departure(
    context: &Context,
    target: base::key::Target,
    leaving: bool,
    observation: Option<fleet::Observation>,
) {
    let snapshot = context.snapshot();
    let name = snapshot.targets.get(target);
    let name = name.map_or("", |target| &*target.name);
    let cause =
        observation.map_or_else(|| "peer".to_owned(), |observation| observation.to_string());
    log::info!(
        target: "departure", departing:% = name, leaving, cause:% = cause,
        configuration_version = snapshot.version;
        "the departure state of a target changed"
    );
}
