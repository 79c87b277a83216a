//! The subset of members that a process exchanges reports with.
//!
//! Each process chooses its subset by rendezvous hashing, which needs no coordination, spreads evenly
//! over the members, and changes little when one joins or leaves.

use std::net;

use crate::ids;

/// The rank of a member in the choice of one process; the highest ranks come first.
pub fn rendezvous_rank(own: net::SocketAddrV4, member: net::SocketAddrV4) -> u64 {
    ids::mix_words(address_word(own), address_word(member))
}

/// The rank of a process in an order common to all processes; the highest ranks come first.
pub fn global_rank(member: net::SocketAddrV4) -> u64 {
    ids::mix_words(u64::from(member.ip().to_bits()), u64::from(member.port()))
}

/// Sorts members by their rank in the choice of one process.
pub fn sort_by_rendezvous_rank(own: net::SocketAddrV4, members: &mut [net::SocketAddrV4]) {
    members
        .sort_unstable_by_key(|member| (std::cmp::Reverse(rendezvous_rank(own, *member)), *member));
}

/// The members that one process sends its own state to, at most `successors + drawn` of them.
///
/// The successors in the common order learn whether enough processes before them perform a duty. The
/// drawn members form a random graph, in which updates reach all members in a logarithmic number of
/// steps.
pub fn neighbours(
    own: net::SocketAddrV4,
    members: impl Iterator<Item = net::SocketAddrV4>,
    successors: usize,
    drawn: usize,
) -> Vec<net::SocketAddrV4> {
    let mut rest: Vec<_> = members.filter(|member| *member != own).collect();
    if rest.len() <= successors + drawn {
        return rest;
    }
    let own_rank = global_rank(own);
    rest.sort_unstable_by_key(|member| {
        let rank = global_rank(*member);
        (rank > own_rank, std::cmp::Reverse(rank))
    });
    let mut chosen: Vec<_> = rest.drain(..successors).collect();
    sort_by_rendezvous_rank(own, &mut rest);
    chosen.extend(rest.into_iter().take(drawn));
    chosen
}

fn address_word(address: net::SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}
