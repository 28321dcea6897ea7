//! Promise: a resume token opens only as it was sealed, and only for its customer.

use {
    base::key,
    mastictrail_stream::token::{Error, ResumeToken},
    proptest::{prelude::*, test_runner::RngSeed},
};

const KEY: &[u8] = b"key";

fn token() -> ResumeToken {
    ResumeToken {
        data_centre: key::DataCentre::of("a"),
        target: key::Target::of("engine"),
        vm: key::Vm::of("vm"),
        customer: key::Customer::of("customer"),
        next: 17,
        generation: "gen-1".into(),
        request: "request-1.2".into(),
    }
}

#[test]
fn sealed_token_opens_for_its_customer_only() {
    let text = token().seal(KEY);
    let customer = key::Customer::of("customer");
    let other = key::Customer::of("other");
    assert_eq!(ResumeToken::open(&text, KEY, customer), Ok(token()));
    assert_eq!(ResumeToken::open(&text, KEY, other), Err(Error::Foreign));
    assert_eq!(
        ResumeToken::open(&text, b"other", customer),
        Err(Error::Unauthentic)
    );
}

/// The same texts in each run.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_refused_by_name(text in ".{0,200}") {
        ResumeToken::open(&text, KEY, key::Customer::of("customer")).unwrap_err();
    }

    #[test]
    fn any_changed_token_is_refused(place in any::<prop::sample::Index>(), byte in 0_u8..128) {
        let mut bytes = token().seal(KEY).into_string().into_bytes();
        let place = place.index(bytes.len());
        prop_assume!(bytes[place] != byte);
        bytes[place] = byte;
        let text = String::from_utf8(bytes).expect("ASCII");
        ResumeToken::open(&text, KEY, key::Customer::of("customer")).unwrap_err();
    }

    #[test]
    fn any_payload_round_trips(generation in ".{0,40}", request in ".{0,40}", next in any::<u32>()) {
        let token = ResumeToken {
            generation: generation.into(),
            request: request.into(),
            next,
            ..token()
        };
        prop_assert_eq!(ResumeToken::open(&token.seal(KEY), KEY, token.customer), Ok(token));
    }
}
