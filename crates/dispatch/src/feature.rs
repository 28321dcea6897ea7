//! Features of requests that crashes of targets are traced to.

use {base::key, derive_more::Display};

/// What a feature identifies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A part of prompts, which different requests share.
    #[display("part")]
    Part,
    /// A request, which is repeated word for word.
    #[display("request")]
    Request,
}

/// Something that requests of one service carry along and that may crash their targets.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{kind} {id:016x}")]
pub struct Feature {
    /// Service that the requests are for.
    pub service: key::Service,
    /// What the feature identifies.
    pub kind: Kind,
    /// Raw key of the part, or of the request's fingerprint.
    pub id: u64,
}

impl Feature {
    /// Returns the feature of prompts that contain a part.
    pub fn part(service: key::Service, part: key::Part) -> Self {
        Self {
            service,
            kind: Kind::Part,
            id: part.raw(),
        }
    }

    /// Returns the feature of a request that is repeated.
    pub fn request(service: key::Service, fingerprint: key::Fingerprint) -> Self {
        Self {
            service,
            kind: Kind::Request,
            id: fingerprint.raw(),
        }
    }
}
