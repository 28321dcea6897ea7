//! Rendezvous hashing: which of several members is responsible for an item.
//!
//! All VMs that know the same members agree without communication, and a member that joins or
//! leaves moves only its own share of the items.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for an item; the member with the highest weight is responsible.
pub fn weight(item: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), item)
}

/// Returns the member that is responsible for an item.
pub fn choose(item: u64, members: impl Iterator<Item = u64>) -> Option<u64> {
    members.max_by_key(|&member| (weight(item, member), member))
}

/// Returns how many members have a higher weight for an item than one of them.
pub fn rank(item: u64, member: u64, members: impl Iterator<Item = u64>) -> usize {
    let own = (weight(item, member), member);
    members
        .filter(|&other| (weight(item, other), other) > own)
        .count()
}
