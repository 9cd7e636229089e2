//! Invariants of a shard, which hold after each step: the index, the counts of the decode servers
//! and the queue agree with the reservations.

use {super::Shard, std::collections::BTreeSet};

/// Checks all invariants.
///
/// # Errors
/// Describes the first violated invariant.
pub fn check(shard: &Shard) -> Result<(), String> {
    check_index(shard)?;
    check_decodes(shard)?;
    check_queue(shard)
}

fn check_index(shard: &Shard) -> Result<(), String> {
    if shard.index.len() != shard.reservations.len() {
        return Err("a reservation is missing from the index or is listed twice".into());
    }
    if !shard.index.windows(2).all(|pair| pair[0].attempt < pair[1].attempt) {
        return Err("the index is not sorted by attempt".into());
    }
    for row in &shard.index {
        let matches = shard
            .reservations
            .get(row.reservation)
            .is_some_and(|reservation| reservation.ask.attempt == row.attempt);
        if !matches {
            return Err(format!("the index has the wrong reservation for {:?}", row.attempt));
        }
    }
    Ok(())
}

fn check_decodes(shard: &Shard) -> Result<(), String> {
    let mut counted = 0;
    for (key, server) in shard.decodes.iter() {
        let name = &server.server.name;
        let mut pieces = 0;
        for reservation in &server.reservations {
            let Some(reservation) = shard.reservations.get(*reservation) else {
                return Err(format!("{name} counts a reservation that has ended"));
            };
            if reservation.decode != key {
                return Err(format!("{name} counts a reservation of another server"));
            }
            pieces += reservation.pieces;
        }
        if pieces != server.pieces {
            return Err(format!(
                "{name} counts {} pieces, its reservations hold {pieces}",
                server.pieces
            ));
        }
        counted += server.reservations.len();
    }
    if counted != shard.reservations.len() {
        return Err("a reservation is counted at no server or at two".into());
    }
    Ok(())
}

fn check_queue(shard: &Shard) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for waiting in &shard.waiting {
        if !seen.insert(&waiting.ask.attempt) {
            return Err(format!("{:?} is in the queue twice", waiting.ask.attempt));
        }
        if shard.find(&waiting.ask.attempt).is_some() {
            return Err(format!(
                "{:?} is in the queue and holds a reservation",
                waiting.ask.attempt
            ));
        }
    }
    Ok(())
}
