//! Promise: bytes of the inner protocol that are not what they should be give a named error.

use {
    bytes::{Bytes, BytesMut},
    mastictrail_wire::{
        Error, Frame,
        channel::Channel,
        datagram::{self, REPLAY_WINDOW, ReplayWindow},
        handshake::{self, NONCE_LENGTH, Side},
        msg::{Adopt, Envelope, Gossip, envelope::Body},
    },
    proptest::prelude::*,
};

const KEY: &[u8] = b"a key of the deployment";

fn channels() -> (Channel, Channel) {
    let client = handshake::hello("a", 1, [1; NONCE_LENGTH]);
    let server = handshake::hello("b", 2, [2; NONCE_LENGTH]);
    let pair = |side, ours, theirs| {
        handshake::channel(KEY, side, ours, theirs).expect("the greetings agree")
    };
    (
        pair(Side::Client, &client, &server),
        pair(Side::Server, &server, &client),
    )
}

fn envelope(number: u64) -> Envelope {
    let request = "r".into();
    Envelope {
        body: Some(Body::Adopt(Adopt { number, request })),
    }
}

fn gossip() -> Gossip {
    Gossip {
        vm: "a".into(),
        sequence: 7,
        ..Gossip::default()
    }
}

#[test]
fn frames_open_once_and_in_their_order() {
    let (mut client, mut server) = channels();
    let frames = [1, 2].map(|number| BytesMut::from(client.seal(&envelope(number))));
    let [first, second] = frames;
    assert_eq!(server.clone().open(second.clone()), Err(Error::Unauthentic));
    assert_eq!(server.open(first.clone()), Ok(envelope(1)));
    assert_eq!(
        server.open(first.clone()),
        Err(Error::Unauthentic),
        "replayed"
    );
    assert_eq!(client.open(first), Err(Error::Unauthentic), "sent back");
    assert_eq!(server.open(second), Ok(envelope(2)));
}

#[test]
fn versions_without_overlap_and_odd_nonces_are_refused() {
    let ours = handshake::hello("a", 1, [1; NONCE_LENGTH]);
    let open = |theirs| handshake::channel(KEY, Side::Client, &ours, &theirs).err();
    let mut newer = handshake::hello("b", 2, [2; NONCE_LENGTH]);
    newer.version_min = handshake::VERSION_MAX + 1;
    newer.version_max = newer.version_min;
    assert_eq!(open(newer), Some(Error::Version));
    let mut odd = handshake::hello("b", 2, [2; NONCE_LENGTH]);
    odd.nonce.pop();
    assert_eq!(open(odd), Some(Error::Malformed));
    let echo = handshake::hello("b", 2, [1; NONCE_LENGTH]);
    assert_eq!(open(echo), Some(Error::Malformed), "our own nonce");
}

#[test]
fn a_window_takes_each_datagram_once() {
    let mut window = ReplayWindow::default();
    for sequence in [5, 3, 4, 5 + REPLAY_WINDOW] {
        assert_eq!(window.accept(sequence), Ok(()), "{sequence}");
        assert_eq!(window.accept(sequence), Err(Error::Replayed), "{sequence}");
    }
    assert_eq!(
        window.accept(5),
        Err(Error::Replayed),
        "older than the window"
    );
}

#[test]
fn a_datagram_of_another_key_is_refused() {
    let bytes = datagram::seal(KEY, &gossip()).expect("it is short");
    assert_eq!(datagram::open(KEY, &bytes), Ok(gossip()));
    assert_eq!(datagram::open(b"another", &bytes), Err(Error::Unauthentic));
    let long = Gossip {
        vm: "a".repeat(datagram::MAX_LENGTH),
        ..Gossip::default()
    };
    assert_eq!(datagram::seal(KEY, &long), Err(Error::TooLong));
}

proptest! {
    #[test]
    fn any_bytes_are_refused_by_name(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        prop_assert!(datagram::open(KEY, &bytes).is_err());
        let (_, mut server) = channels();
        prop_assert!(server.open(BytesMut::from(&*bytes)).is_err());
        let _ = Frame::decode(BytesMut::from(&*bytes));
    }

    /// An authentic sender may still speak another schema.
    #[test]
    fn any_authentic_message_is_read_or_malformed(
        message in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (client, mut server) = channels();
        let sealed = client.clone().seal_bytes(Bytes::from(message));
        let opened = server.open(BytesMut::from(sealed));
        prop_assert!(matches!(opened, Ok(_) | Err(Error::Malformed)));
    }

    #[test]
    fn any_changed_byte_is_refused(place: prop::sample::Index, change in 1_u8..) {
        let mut bytes = datagram::seal(KEY, &gossip()).expect("it is short");
        let place = place.index(bytes.len());
        bytes[place] ^= change;
        prop_assert_eq!(datagram::open(KEY, &bytes), Err(Error::Unauthentic));
    }
}
