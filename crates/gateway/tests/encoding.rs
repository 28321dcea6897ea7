//! The form in which configurations are kept and sent to peers.

use {
    bytes::Bytes,
    mastictrail_gateway::control::encoding::{Encoding, LARGE_BYTES},
};

/// Returns the text of a list with this many entries.
fn text(entries: usize) -> Bytes {
    let entries = (0..entries as u64).map(|index| {
        let name = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{{\"Name\":\"{name:x}\",\"Service\":\"ledger\"}}")
    });
    entries.collect::<Vec<_>>().join(",").into()
}

#[test]
fn a_small_configuration_is_kept_as_it_is() {
    let plain = text(100);
    assert!(plain.len() < LARGE_BYTES);
    let encoding = Encoding::new(plain.clone()).unwrap();
    assert!(!encoding.is_deflated());
    assert_eq!(encoding.body(), plain);
}

#[test]
fn a_large_configuration_comes_back_from_a_peer_as_it_was() {
    let plain = text(10_000);
    let encoding = Encoding::new(plain.clone()).unwrap();
    assert!(encoding.is_deflated());
    assert!(encoding.body().len() < plain.len() / 2);
    let (received, inflated) = Encoding::from_peer(encoding.body(), true).unwrap();
    assert_eq!(inflated, plain);
    assert_eq!(received.plain_bytes(), plain.len());
    assert_eq!(received.plain().unwrap(), plain);
    let (received, _) = Encoding::from_peer(plain.clone(), false).unwrap();
    assert!(received.is_deflated());
    assert_eq!(received.plain().unwrap(), plain);
}

#[test]
fn a_transfer_that_is_cut_or_damaged_is_refused() {
    let body = Encoding::new(text(10_000)).unwrap().body();
    for length in [0, 1, 2, body.len() / 2, body.len() - 1] {
        let cut = body.slice(..length);
        assert!(Encoding::from_peer(cut, true).is_err(), "{length} bytes");
    }
    for index in [0, body.len() / 3, body.len() - 2] {
        let mut damaged = body.to_vec();
        damaged[index] ^= 0x55;
        assert!(
            Encoding::from_peer(damaged.into(), true).is_err(),
            "{index}"
        );
    }
}

/// A few kilobytes may inflate to gigabytes.
#[test]
fn a_transfer_that_inflates_beyond_any_configuration_is_refused() {
    let bomb = Encoding::new(vec![b' '; 64 << 20].into()).unwrap();
    assert!(bomb.body().len() < 1 << 20);
    let error = Encoding::from_peer(bomb.body(), true).unwrap_err();
    assert_eq!(error.to_string(), "the configuration is too large");
}
