//! Chooses the target of a request where some targets may be cold.
//!
//! After a data centre has come back, a quarter of the targets is cold, and each VM may send to few
//! of them. All its requests leave the others out while another target has capacity.

use {
    crate::{
        Cold, Placement,
        cold::Access,
        listing::Target,
        placement::{Choice, Query},
    },
    base::{Instant, key},
};

/// Chooses targets, of the cold ones only those that may get a request of this VM now.
#[derive(Debug, Default)]
pub struct Selection {
    /// Targets that the current request doesn't use; kept for its memory only.
    excluded: Vec<key::Target>,
}

impl Selection {
    /// Chooses the target of least cost with capacity for the request; `None` if there is none.
    pub fn choose<'a>(
        &mut self,
        (placement, cold): (&mut Placement, &mut Cold),
        now: Instant,
        targets: &'a [Target],
        query: &Query<'_>,
    ) -> Option<Choice<'a>> {
        // A copy of a run is no request.
        let Some(access) = query.cold_access.filter(|_| query.load.runs > 0) else {
            return placement.choose(now, targets, query);
        };
        self.excluded.clear();
        cold.close(targets, access.cold_start(), now, &mut self.excluded);
        if self.excluded.is_empty() {
            return placement.choose(now, targets, query);
        }
        self.excluded.extend_from_slice(query.excluded);
        let open = Query {
            excluded: &self.excluded,
            ..*query
        };
        let choice = placement.choose(now, targets, &open);
        let is_continuation = matches!(access, Access::Continuation(_));
        if choice.is_none() && (is_continuation || cold.is_last_resort(now)) {
            return placement.choose(now, targets, query);
        }
        choice
    }
}
