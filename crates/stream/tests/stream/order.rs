//! Promise: tokens once, in order, from one generation, whatever order events come in.

use {
    crate::support::{Generation, Step, World},
    base::Verdict,
    mastictrail_stream::{Action, Mode},
    proptest::{prelude::*, test_runner::RngSeed},
};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => Just(Step::Next),
        1 => Just(Step::Duplicate),
        1 => Just(Step::Skip),
        1 => Just(Step::OtherRequest),
        1 => Just(Step::OtherGeneration),
        1 => Just(Step::LateOnOldConnection),
        2 => Just(Step::Cut),
        1 => Just(Step::Silent),
        1 => Just(Step::Overslept),
        1 => Just(Step::Heartbeat),
        1 => Just(Step::Refuse),
        1 => Just(Step::Forget),
    ];
    prop::collection::vec(step, 0..60)
}

/// Checks the answer against what the engines made; returns whether it is complete.
fn check(answer: &[Action], generations: &[Generation]) -> bool {
    let mut tokens = Vec::new();
    let (last, body) = answer.split_last().expect("an answer never ends silently");
    for action in body {
        let Action::Token { index, text } = action else {
            panic!("more than one end: {answer:?}");
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
        assert!(sources.clone().next().is_some(), "spliced: {answer:?}");
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
                    .any(|made| made.whole() == **text && made.length == *tokens)
            );
            true
        }
        Action::Refuse(refusal) => {
            let began = !generations.is_empty();
            assert!(!(refusal.verdict == Verdict::NotRun && began), "{refusal}");
            false
        }
        other => panic!("no end: {other:?}"),
    }
}

/// Two thousand scripts, the same ones in each run.
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
        whole in any::<bool>(),
    ) {
        let mode = if whole { Mode::Buffered } else { Mode::Streaming };
        let mut world = World::new(mode, length);
        for step in steps {
            world.step(step);
        }
        world.settle();
        check(&world.answer, &world.generations);
    }

    #[test]
    fn one_fault_after_the_first_token_loses_nothing(
        before in 1_u32..10,
        fault in prop_oneof![
            Just(Step::Duplicate),
            Just(Step::Skip),
            Just(Step::OtherRequest),
            Just(Step::OtherGeneration),
            Just(Step::LateOnOldConnection),
            Just(Step::Cut),
            Just(Step::Silent),
            Just(Step::Overslept),
        ],
        repeats in 1_usize..4,
    ) {
        let mut world = World::new(Mode::Streaming, 20);
        (0..before).for_each(|_| world.step(Step::Next));
        (0..repeats).for_each(|_| world.step(fault));
        world.settle();
        prop_assert!(check(&world.answer, &world.generations));
        prop_assert_eq!(world.generations.len(), 1);
    }
}
