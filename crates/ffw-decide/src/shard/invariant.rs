//! What must hold of a shard after each step.

use {super::Shard, std::collections::BTreeSet};

/// Checks the whole state.
///
/// # Errors
/// The first rule that is broken, in words.
pub fn check(shard: &Shard) -> Result<(), String> {
    check_index(shard)?;
    check_decodes(shard)?;
    check_queue(shard)
}

fn check_index(shard: &Shard) -> Result<(), String> {
    if shard.index.len() != shard.reservations.len() {
        return Err("a place is not in the index, or stands in it twice".into());
    }
    if !shard.index.windows(2).all(|pair| pair[0].attempt < pair[1].attempt) {
        return Err("the index is out of order".into());
    }
    for entry in &shard.index {
        let known = shard
            .reservations
            .get(entry.reservation)
            .is_some_and(|one| one.ask.attempt == entry.attempt);
        if !known {
            return Err(format!("the index names a place of another attempt: {:?}", entry.attempt));
        }
    }
    Ok(())
}

fn check_decodes(shard: &Shard) -> Result<(), String> {
    let mut placed = 0;
    for (key, server) in shard.decodes.iter() {
        let name = &server.server.name;
        let mut pieces = 0;
        for reservation in &server.reservations {
            let Some(reservation) = shard.reservations.get(*reservation) else {
                return Err(format!("{name} counts a place that has ended"));
            };
            if reservation.decode != key {
                return Err(format!("{name} counts a place of another server"));
            }
            pieces += reservation.pieces;
        }
        if pieces != server.pieces {
            return Err(format!("{name} counts {} pieces for {pieces} held", server.pieces));
        }
        placed += server.reservations.len();
    }
    if placed != shard.reservations.len() {
        return Err("a place is counted at no server, or at two".into());
    }
    Ok(())
}

fn check_queue(shard: &Shard) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for waiting in &shard.waiting {
        if !seen.insert(&waiting.ask.attempt) {
            return Err(format!("{:?} waits twice", waiting.ask.attempt));
        }
        if shard.find(&waiting.ask.attempt).is_some() {
            return Err(format!("{:?} waits and holds a place", waiting.ask.attempt));
        }
    }
    Ok(())
}
