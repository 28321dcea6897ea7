//! Every token is delivered once, in order and from one generation, in any order of events.

use {
    crate::support::{Generation, Simulation, Step},
    base::Verdict,
    mastictrail_stream::{Action, Mode},
    proptest::{prelude::*, test_runner::RngSeed},
};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => Just(Step::Next),
        1 => Just(Step::Duplicate),
        1 => Just(Step::SkipChunk),
        1 => Just(Step::OtherRequest),
        1 => Just(Step::OtherGeneration),
        1 => Just(Step::LateOnClosedConnection),
        2 => Just(Step::Disconnect),
        1 => Just(Step::StaySilent),
        1 => Just(Step::ProcessPaused),
        1 => Just(Step::Heartbeat),
        1 => Just(Step::Refuse),
        1 => Just(Step::ForgetGeneration),
    ];
    prop::collection::vec(step, 0..60)
}

/// Checks the response against the engines' generations; returns whether it is complete.
fn check(response: &[Action], generations: &[Generation]) -> bool {
    let mut tokens = Vec::new();
    let (last, body) = response
        .split_last()
        .expect("a response never ends without a final action");
    for action in body {
        let Action::Token { index, text } = action else {
            panic!("more than one final action: {response:?}");
        };
        assert_eq!(*index as usize, tokens.len(), "out of order");
        tokens.push(text.clone());
    }
    let is_prefix = |generation: &&Generation| {
        tokens
            .iter()
            .enumerate()
            .all(|(index, text)| generation.text(index as u32) == *text)
    };
    let mut sources = generations.iter().filter(is_prefix);
    if !tokens.is_empty() {
        assert!(
            sources.clone().next().is_some(),
            "tokens of several generations: {response:?}"
        );
    }
    match last {
        Action::Finish { index, .. } => {
            assert!(
                sources.any(|source| source.length == *index && *index as usize == tokens.len())
            );
            true
        }
        Action::Body { text, tokens, .. } => {
            assert!(
                generations
                    .iter()
                    .any(|source| source.full_text() == **text && source.length == *tokens)
            );
            true
        }
        Action::Refuse(refusal) => {
            let has_started = !generations.is_empty();
            assert!(
                !(refusal.verdict == Verdict::NotRun && has_started),
                "{refusal}"
            );
            false
        }
        other => panic!("not a final action: {other:?}"),
    }
}

/// Runs 2000 scripts; the seed is fixed, so that each run uses the same ones.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_are_a_prefix_of_one_generation(
        steps in steps(),
        length in 0_u32..30,
        is_buffered in any::<bool>(),
    ) {
        let mode = if is_buffered { Mode::Buffered } else { Mode::Streaming };
        let mut simulation = Simulation::new(mode, length);
        for step in steps {
            simulation.step(step);
        }
        simulation.settle();
        check(&simulation.response, &simulation.generations);
    }

    #[test]
    fn one_fault_after_the_first_token_loses_nothing(
        before in 1_u32..10,
        fault in prop_oneof![
            Just(Step::Duplicate),
            Just(Step::SkipChunk),
            Just(Step::OtherRequest),
            Just(Step::OtherGeneration),
            Just(Step::LateOnClosedConnection),
            Just(Step::Disconnect),
            Just(Step::StaySilent),
            Just(Step::ProcessPaused),
        ],
        repeats in 1_usize..4,
    ) {
        let mut simulation = Simulation::new(Mode::Streaming, 20);
        (0..before).for_each(|_| simulation.step(Step::Next));
        (0..repeats).for_each(|_| simulation.step(fault));
        simulation.settle();
        prop_assert!(check(&simulation.response, &simulation.generations));
        prop_assert_eq!(simulation.generations.len(), 1);
    }
}
