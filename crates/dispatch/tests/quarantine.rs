//! Quarantine of prompt parts on which engines crash, at several VMs that exchange messages.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Quarantine,
        feature::Feature,
        quarantine::{Admission, Change, Policy},
        report::{Datagram, Evidence},
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const POLICY: Policy = Policy {
    duration: Duration::from_secs(60),
    max_duration: Duration::from_secs(900),
};
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const STEP: Duration = Duration::from_millis(10);
/// Maximum size of a datagram that a VM receives.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
const BAD: &str = "bad";

/// VMs with a clock of their own, and a network between them.
struct World {
    vms: Vec<Quarantine>,
    now: Instant,
    last_heartbeat: Instant,
    message_loss: f64,
    random: SmallRng,
    next_target: u64,
}

fn service() -> key::Service {
    key::Service::of("engines")
}

fn parts(names: &[&str]) -> Vec<Feature> {
    names.iter().map(|name| part(name)).collect()
}

fn part(name: &str) -> Feature {
    Feature::part(service(), key::Part::of(name))
}

impl World {
    fn new(vms: u64) -> Self {
        let now = Instant::from_micros(1_000_000_000);
        Self {
            vms: (0..vms).map(|vm| Quarantine::new(POLICY, vm)).collect(),
            now,
            last_heartbeat: now,
            message_loss: 0.0,
            random: SmallRng::seed_from_u64(7),
            next_target: 0,
        }
    }

    /// Lets time pass; messages are sent as the gateway does.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            let is_heartbeat = self.now.since(self.last_heartbeat) >= HEARTBEAT;
            if is_heartbeat {
                self.last_heartbeat = self.now;
            }
            let mut messages = Vec::new();
            for vm in &mut self.vms {
                messages.extend(vm.take_news(self.now));
                if is_heartbeat {
                    messages.extend(vm.evidence(self.now));
                }
            }
            for message in messages {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, evidence: Evidence) {
        let datagram = Datagram {
            evidence: Some(evidence),
            ..Datagram::default()
        };
        let bytes = datagram.encode_to_vec();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        let evidence = Datagram::decode(&*bytes).unwrap().evidence.unwrap();
        for vm in &mut self.vms {
            if !self.random.random_bool(self.message_loss) {
                vm.receive(&evidence, self.now);
            }
        }
    }

    /// An engine is lost while it begins to answer requests of these VMs with these prompts.
    fn lose_engine(&mut self, requests: &[(usize, &[&str])]) {
        self.next_target += 1;
        let target = key::Target::from_raw(self.next_target);
        for (vm, names) in requests {
            self.vms[*vm].record_loss(target, &parts(names), self.now);
        }
    }

    fn survive(&mut self, vm: usize, names: &[&str]) {
        self.vms[vm].record_survival(&parts(names), self.now);
    }

    fn admit(&mut self, vm: usize, names: &[&str]) -> Admission {
        self.vms[vm].admit(&parts(names), self.now)
    }

    /// Asserts that all VMs refuse prompts with the bad part.
    #[track_caller]
    fn assert_refused(&mut self, name: &str) {
        for vm in 0..self.vms.len() {
            let admission = self.admit(vm, &[name]);
            let is_refused = matches!(admission, Admission::Refused { feature: refused, .. } if refused == part(name));
            assert!(is_refused, "vm {vm}: {admission:?}");
        }
    }

    #[track_caller]
    fn assert_admitted(&mut self, name: &str) {
        for vm in 0..self.vms.len() {
            assert_eq!(self.admit(vm, &[name]), Admission::Admitted, "vm {vm}");
        }
    }

    /// Engines answer other requests of all VMs.
    fn serve_others(&mut self) {
        for vm in 0..self.vms.len() {
            for _ in 0..10 {
                self.survive(vm, &["shared", "other"]);
                self.survive(vm, &["unlike"]);
            }
        }
    }

    /// Loses engines until the bad part is quarantined.
    fn quarantine(&mut self) {
        self.serve_others();
        for vm in 0..4 {
            self.lose_engine(&[(vm % self.vms.len(), &["shared", BAD])]);
            self.advance(Duration::from_millis(500));
        }
        self.assert_refused(BAD);
    }
}

/// Each VM sees a part of the losses.
#[test]
fn a_part_common_to_several_losses_is_refused_at_all_vms() {
    let mut world = World::new(18);
    world.serve_others();
    for vm in 0..18 {
        world.survive(vm, &["shared", "other"]);
    }
    world.lose_engine(&[(0, &["shared", BAD]), (1, &["shared", "other"])]);
    world.advance(Duration::from_millis(400));
    world.lose_engine(&[(2, &[BAD, "rare"]), (3, &["shared"])]);
    world.advance(Duration::from_millis(400));
    world.lose_engine(&[(2, &["shared", BAD])]);
    world.advance(Duration::from_millis(400));
    world.assert_admitted(BAD);
    world.lose_engine(&[(4, &["shared", BAD, "else"])]);
    world.advance(Duration::from_millis(200));
    world.assert_refused(BAD);
    for name in ["shared", "other", "rare", "else"] {
        world.assert_admitted(name);
    }
}

/// A sound request meets a crash at each engine that it is sent to, and so does its client's next.
#[test]
fn a_sound_part_is_not_refused_for_being_present() {
    let mut world = World::new(4);
    world.serve_others();
    for loss in 0..8 {
        let other = if loss % 2 == 0 { "rare" } else { "else" };
        world.lose_engine(&[(loss % 4, &["shared", BAD]), (1, &["shared", other])]);
        world.advance(Duration::from_millis(300));
    }
    world.assert_refused(BAD);
    world.assert_admitted("rare");
    world.assert_admitted("shared");
}

/// Engines fail for reasons of their own while sound requests begin.
#[test]
fn parts_that_engines_survive_elsewhere_are_not_refused() {
    let mut world = World::new(6);
    for loss in 0..20 {
        world.lose_engine(&[(loss % 6, &["shared"]), (1, &["shared", "other"])]);
        for vm in 0..6 {
            world.survive(vm, &["shared", "other"]);
        }
        world.advance(Duration::from_millis(600));
        world.assert_admitted("shared");
        world.assert_admitted("other");
    }
}

/// Engines fail so often that a rare part was present at several losses by chance.
#[test]
fn a_part_that_explains_few_of_the_losses_is_not_refused() {
    let mut world = World::new(4);
    for loss in 0..10 {
        let name = ["rare", "b", "c"][loss % 3];
        world.lose_engine(&[(loss % 4, &[name])]);
        world.advance(Duration::from_millis(400));
    }
    world.assert_admitted("rare");
}

/// Two parts at the same time; neither explains most of the losses.
#[test]
fn two_parts_on_which_engines_crash_are_both_refused() {
    let mut world = World::new(4);
    world.serve_others();
    for loss in 0..14 {
        let name = [BAD, "worse"][loss % 2];
        world.lose_engine(&[(loss % 4, &["shared", name])]);
        world.survive(1, &["shared"]);
        world.survive(2, &["shared"]);
        world.advance(Duration::from_millis(400));
    }
    world.assert_refused(BAD);
    world.assert_refused("worse");
    world.assert_admitted("shared");
}

/// All engines fail, and with them every request; the part that all of them share is no cause.
#[test]
fn a_part_of_all_requests_is_not_refused_when_all_of_them_fail() {
    let mut world = World::new(4);
    for vm in 0..4 {
        world.survive(vm, &["shared", "other"]);
        world.survive(vm, &["shared", "else"]);
    }
    for loss in 0..30 {
        let name = ["other", "else", "third"][loss % 3];
        world.lose_engine(&[(loss % 4, &["shared", name])]);
        world.advance(Duration::from_millis(400));
    }
    for name in ["shared", "other", "else", "third"] {
        world.assert_admitted(name);
    }
}

/// A data centre or a host fails, and with it many engines; nothing has had time to survive.
#[test]
fn one_failure_that_takes_many_engines_is_one_loss() {
    let mut world = World::new(6);
    for engine in 0..16 {
        world.lose_engine(&[(engine % 6, &["shared", "other"])]);
        world.advance(STEP);
    }
    world.advance(Duration::from_secs(1));
    world.assert_admitted("shared");
    world.assert_admitted("other");
}

/// A new release of the engines may crash on what they used to answer.
#[test]
fn a_part_that_engines_used_to_survive_takes_more_losses() {
    let mut world = World::new(6);
    world.serve_others();
    for vm in 0..6 {
        world.survive(vm, &[BAD]);
    }
    for loss in 0..5 {
        world.lose_engine(&[(loss % 6, &[BAD])]);
        world.advance(Duration::from_millis(400));
        world.assert_admitted(BAD);
    }
    world.lose_engine(&[(0, &[BAD])]);
    world.advance(Duration::from_millis(400));
    world.assert_refused(BAD);
}

/// The first losses fit two parts; a further one shows which of them it is.
#[test]
fn a_wrong_first_guess_is_released_when_another_part_explains_more() {
    let mut world = World::new(4);
    world.serve_others();
    for vm in 0..4 {
        world.lose_engine(&[(vm, &[BAD, "sound"])]);
        world.advance(Duration::from_millis(400));
    }
    world.assert_refused("sound");
    for vm in 0..4 {
        world.lose_engine(&[(vm, &[BAD, "another"])]);
        world.advance(Duration::from_millis(400));
    }
    world.assert_refused(BAD);
    world.assert_admitted("sound");
}

/// Requests that were sent before the quarantine show that engines survive the part.
#[test]
fn a_part_is_released_when_requests_on_their_way_survive() {
    let mut world = World::new(4);
    world.quarantine();
    for _ in 0..2 {
        world.survive(1, &[BAD]);
        world.survive(2, &[BAD]);
        world.advance(Duration::from_millis(200));
    }
    world.assert_admitted(BAD);
}

#[test]
fn a_quarantine_ends_with_one_trial_of_the_whole_deployment() {
    let mut world = World::new(18);
    world.quarantine();
    world.advance(POLICY.duration.saturating_sub(Duration::from_secs(1)));
    let mut trials = Vec::new();
    let end = world.now + Duration::from_secs(5);
    while world.now < end {
        for vm in 0..18 {
            if world.admit(vm, &["new", BAD]) == Admission::Trial(part(BAD)) {
                trials.push(vm);
            }
        }
        world.advance(STEP);
    }
    assert_eq!(trials.len(), 1, "{trials:?}");
    world.survive(trials[0], &["new", BAD]);
    world.advance(Duration::from_millis(200));
    world.assert_admitted(BAD);
}

#[test]
fn a_trial_that_loses_its_engine_prolongs_the_quarantine() {
    let mut world = World::new(6);
    world.quarantine();
    let mut duration = POLICY.duration;
    for _ in 0..3 {
        world.advance(duration + Duration::from_secs(3));
        let trial = (0..6).find(|vm| world.admit(*vm, &[BAD]) == Admission::Trial(part(BAD)));
        world.lose_engine(&[(trial.unwrap(), &[BAD])]);
        world.advance(Duration::from_millis(200));
        duration = (2 * duration).min(POLICY.max_duration);
        for vm in 0..6 {
            let Admission::Refused { retry_after, .. } = world.admit(vm, &[BAD]) else {
                panic!("vm {vm} admits the part");
            };
            assert!(retry_after + Duration::from_secs(1) > duration);
        }
    }
}

/// The VM that runs the trial dies, or its client leaves.
#[test]
fn a_trial_without_a_result_is_followed_by_another() {
    let mut world = World::new(6);
    world.quarantine();
    world.advance(POLICY.duration + Duration::from_secs(3));
    let trial = |world: &mut World| {
        (0..6).find(|vm| world.admit(*vm, &[BAD]) == Admission::Trial(part(BAD)))
    };
    assert!(trial(&mut world).is_some());
    world.advance(Duration::from_secs(1));
    assert!(trial(&mut world).is_none());
    world.advance(Duration::from_secs(14));
    assert!(trial(&mut world).is_some());
}

#[test]
fn a_vm_that_starts_late_learns_the_quarantine() {
    let mut world = World::new(3);
    world.quarantine();
    world.vms.push(Quarantine::new(POLICY, 99));
    world.advance(HEARTBEAT + STEP);
    world.assert_refused(BAD);
    // It also learns that the quarantine is over.
    world.vms.push(Quarantine::new(POLICY, 100));
    world.advance(POLICY.duration + Duration::from_secs(3));
    let trial = (0..5).find(|vm| world.admit(*vm, &[BAD]) == Admission::Trial(part(BAD)));
    world.survive(trial.unwrap(), &[BAD]);
    world.advance(HEARTBEAT + STEP);
    world.assert_admitted(BAD);
}

#[test]
fn lost_messages_delay_a_quarantine_and_its_end_by_some_heartbeats() {
    let mut world = World::new(12);
    world.message_loss = 0.4;
    world.serve_others();
    for loss in 0..5 {
        let other = if loss % 2 == 0 { "rare" } else { "else" };
        world.lose_engine(&[(loss, &["shared", BAD]), (loss + 1, &["shared", other])]);
        world.advance(Duration::from_millis(400));
    }
    world.advance(Duration::from_secs(3));
    world.assert_refused(BAD);
    world.assert_admitted("rare");
    world.advance(POLICY.duration + Duration::from_secs(3));
    let trial = (0..12).find(|vm| matches!(world.admit(*vm, &[BAD]), Admission::Trial(_)));
    world.survive(trial.unwrap(), &[BAD]);
    world.advance(Duration::from_secs(5));
    world.assert_admitted(BAD);
}

/// What a VM releases must not come back with the repeated messages of another one.
#[test]
fn repeated_losses_do_not_renew_a_quarantine_that_has_ended() {
    let mut world = World::new(4);
    world.quarantine();
    for vm in 1..3 {
        world.survive(vm, &[BAD]);
        world.survive(vm, &[BAD]);
    }
    world.advance(Duration::from_secs(8));
    world.assert_admitted(BAD);
    let changes: Vec<_> = world.vms[0].take_changes();
    let is_renewed =
        |change: &Change| matches!(change, Change::Quarantined { level, .. } if *level > 1);
    assert!(!changes.iter().any(is_renewed), "{changes:?}");
}

#[test]
fn a_part_is_quarantined_at_its_service_only() {
    let mut world = World::new(2);
    world.quarantine();
    let other = Feature::part(key::Service::of("others"), key::Part::of(BAD));
    let admission = world.vms[0].admit(&[other], world.now);
    assert_eq!(admission, Admission::Admitted);
}

/// Clients choose the parts, so they must not fill the memory.
#[test]
fn a_million_parts_take_bounded_memory() {
    let mut world = World::new(2);
    let mut most = 0;
    for number in 0_u64..1_000_000 {
        let part = |id| Feature::part(service(), key::Part::from_raw(id));
        world.vms[0].record_survival(&[part(number)], world.now);
        if number % 20_000 == 0 {
            let target = key::Target::from_raw(number);
            let prompt: Vec<_> = (0..64).map(|id| part(number + id)).collect();
            world.vms[1].record_loss(target, &prompt, world.now);
            world.advance(STEP);
        }
        if number % 1_000 == 0 {
            most = most.max(world.vms[0].remembered_features());
            most = most.max(world.vms[1].remembered_features());
        }
    }
    assert!(most < 20_000, "{most} parts");
    world.quarantine();
}

fn request(name: &str) -> Feature {
    Feature::request(service(), key::Fingerprint::of_fields(&[name.as_bytes()]))
}

impl World {
    /// A target is lost while it runs these requests of these VMs.
    fn lose_target(&mut self, requests: &[(usize, &str)]) {
        self.next_target += 1;
        let target = key::Target::from_raw(self.next_target);
        for (vm, name) in requests {
            self.vms[*vm].record_loss(target, &[request(name)], self.now);
        }
    }

    fn answer(&mut self, vm: usize, name: &str) {
        self.vms[vm].record_survival(&[request(name)], self.now);
    }

    fn is_request_refused(&mut self, vm: usize, name: &str) -> bool {
        let admission = self.vms[vm].admit(&[request(name)], self.now);
        matches!(admission, Admission::Refused { .. })
    }

    /// Returns how many VMs refuse a request.
    fn refusing(&mut self, name: &str) -> usize {
        let vms = 0..self.vms.len();
        vms.filter(|vm| self.is_request_refused(*vm, name)).count()
    }

    /// Targets answer requests that nobody repeats, and some that are repeated word for word.
    fn answer_others(&mut self) {
        for vm in 0..self.vms.len() {
            for number in 0..20 {
                self.answer(vm, &format!("other {vm} {number}"));
                self.answer(vm, "repeated");
            }
        }
    }
}

/// Each VM sees one loss at most.
#[test]
fn a_request_that_crashed_three_targets_is_refused_at_all_vms() {
    let mut world = World::new(8);
    world.answer_others();
    for vm in 0..2 {
        world.lose_target(&[(vm, BAD)]);
        world.advance(Duration::from_millis(400));
    }
    assert_eq!(world.refusing(BAD), 0);
    world.lose_target(&[(2, BAD)]);
    world.advance(Duration::from_millis(200));
    assert_eq!(world.refusing(BAD), 8);
    assert_eq!(world.refusing("repeated"), 0);
}

/// A VM repeats a request, and so does its client; the third target is lost soon after the first.
#[test]
fn losses_in_quick_succession_suffice_if_they_are_two_failures() {
    let mut world = World::new(4);
    world.answer_others();
    for vm in 0..2 {
        world.lose_target(&[(vm, BAD)]);
        world.advance(Duration::from_millis(130));
    }
    world.lose_target(&[(2, BAD)]);
    world.advance(Duration::from_millis(200));
    assert_eq!(world.refusing(BAD), 4);
}

/// A data centre fails with all targets to which a request was hedged and repeated.
#[test]
fn one_failure_of_several_targets_convicts_no_request() {
    let mut world = World::new(4);
    world.answer_others();
    for vm in 0..4 {
        world.lose_target(&[(vm, "sound")]);
        world.advance(STEP);
    }
    world.advance(Duration::from_secs(1));
    assert_eq!(world.refusing("sound"), 0);
}

/// Clients repeat a sound request word for word, and targets are killed under it again and again.
#[test]
fn a_repeated_request_that_targets_answer_is_not_refused() {
    let mut world = World::new(6);
    for loss in 0..30 {
        world.answer_others();
        world.lose_target(&[(loss % 6, "repeated"), (1, "other")]);
        world.advance(Duration::from_millis(500));
        assert_eq!(world.refusing("repeated"), 0);
    }
}

/// A bystander that is repeated at once meets the request that crashes targets three times.
#[test]
fn a_bystander_of_the_same_losses_is_not_refused_before_they_differ() {
    let mut world = World::new(4);
    world.answer_others();
    for vm in 0..3 {
        world.lose_target(&[(vm, BAD), (3, "bystander")]);
        world.advance(Duration::from_millis(400));
    }
    assert_eq!(world.refusing("bystander"), 0);
    world.lose_target(&[(0, BAD)]);
    world.advance(Duration::from_millis(200));
    assert_eq!(world.refusing(BAD), 4);
    assert_eq!(world.refusing("bystander"), 0);
    world.answer(3, "bystander");
    world.advance(Duration::from_millis(200));
    assert_eq!(world.refusing("bystander"), 0);
}

/// Connections fail so often that most requests are lost at times.
#[test]
fn a_request_is_not_refused_where_others_are_lost_as_often() {
    let mut world = World::new(4);
    for number in 0..20 {
        world.lose_target(&[(number % 4, &format!("other {number}"))]);
        world.answer(number % 4, &format!("another {number}"));
        world.advance(Duration::from_millis(100));
    }
    for vm in 0..3 {
        world.lose_target(&[(vm, "unlucky")]);
        world.advance(Duration::from_millis(400));
    }
    assert_eq!(world.refusing("unlucky"), 0);
}

/// What one service survives says nothing of another one.
#[test]
fn survivals_count_for_their_service_only() {
    let mut world = World::new(2);
    let elsewhere = Feature::request(
        key::Service::of("others"),
        key::Fingerprint::of_fields(&[b"other"]),
    );
    for _ in 0..500 {
        world.vms[0].record_survival(&[elsewhere], world.now);
    }
    for loss in 0..3 {
        world.lose_target(&[(loss % 2, "unlucky")]);
        world.advance(Duration::from_millis(400));
    }
    assert_eq!(world.refusing("unlucky"), 0);
}

/// A VM that starts late, and one that loses messages, learn it from the heartbeats.
#[test]
fn a_request_is_refused_by_late_vms_and_despite_lost_messages() {
    let mut world = World::new(6);
    world.message_loss = 0.4;
    world.answer_others();
    for vm in 0..3 {
        world.lose_target(&[(vm, BAD)]);
        world.advance(Duration::from_millis(400));
    }
    world.vms.push(Quarantine::new(POLICY, 99));
    world.advance(Duration::from_secs(3));
    assert_eq!(world.refusing(BAD), 7);
}

/// The service is repaired: one request of the whole deployment shows it.
#[test]
fn the_quarantine_of_a_request_ends_with_a_trial() {
    let mut world = World::new(4);
    world.answer_others();
    for vm in 0..3 {
        world.lose_target(&[(vm, BAD)]);
        world.advance(Duration::from_millis(400));
    }
    world.advance(POLICY.duration + Duration::from_secs(3));
    let mut trials = Vec::new();
    for vm in 0..4 {
        let admission = world.vms[vm].admit(&[request(BAD)], world.now);
        trials.extend(matches!(admission, Admission::Trial(_)).then_some(vm));
        world.advance(STEP * 2);
    }
    assert_eq!(trials.len(), 1, "{trials:?}");
    world.answer(trials[0], BAD);
    world.advance(Duration::from_millis(200));
    assert_eq!(world.refusing(BAD), 0);
}

/// Clients choose the bodies, so they must not fill the memory.
#[test]
fn a_million_requests_take_bounded_memory() {
    let mut world = World::new(2);
    let mut most = 0;
    let of = |service: u64, number: u64| {
        Feature::request(
            key::Service::from_raw(service),
            key::Fingerprint::from_raw(number),
        )
    };
    for number in 0_u64..1_000_000 {
        world.vms[0].record_survival(&[of(number % 3, number)], world.now);
        if number % 1_000 == 0 {
            let target = key::Target::from_raw(number);
            world.vms[1].record_loss(target, &[of(0, number)], world.now);
            world.advance(STEP);
            most = most.max(world.vms[0].remembered_features());
            most = most.max(world.vms[1].remembered_features());
        }
    }
    assert!(most < 3 * 9_000, "{most} features");
}

/// All requests of a customer have one body, so that they look like one that is repeated.
#[test]
fn a_bad_part_is_refused_rather_than_the_requests_that_contain_it() {
    let mut world = World::new(4);
    world.serve_others();
    let with = |name| [part("shared"), part(name), request("same body")];
    for vm in 0..4 {
        world.next_target += 1;
        let target = key::Target::from_raw(world.next_target);
        world.vms[vm].record_loss(target, &with(BAD), world.now);
        world.advance(Duration::from_millis(400));
        let admission = world.vms[0].admit(&with("sound"), world.now);
        assert_eq!(admission, Admission::Admitted);
    }
    world.assert_refused(BAD);
}
