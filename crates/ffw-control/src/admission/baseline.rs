//! Chooses servers without an owner, for the baseline policies that the owners are compared with.

use {
    crate::daemon::Daemon,
    ffw_decide::baseline::{self, Choice, Policy},
    ffw_protocol::{
        admission::{Ask, Basis, Cause, Grant, Reason, Refusal, Verdict},
        instance::Role,
    },
    std::{sync::atomic::Ordering, time::Duration},
};

/// Chooses a prefill and a decode server, for the baseline policies without an owner.
pub(super) fn choose_pair(daemon: &Daemon, pool: &str, ask: &Ask) -> Verdict {
    let turn = daemon.turn.fetch_add(1, Ordering::Relaxed);
    let leaving = daemon.owned_shards.self_reported_leaving();
    let choose = |role: Role| {
        let members = daemon.view.members(pool, role, &leaving);
        let live = members.into_iter().filter(|member| !member.leaving);
        let choices: Vec<Choice> = live
            .map(|member| Choice {
                load: daemon.owned_shards.reported_load(&member.server.name),
                server: member.server,
            })
            .collect();
        let chosen = match daemon.policy {
            Policy::RoundRobin => baseline::round_robin(&choices, turn),
            _ => baseline::least_load(&choices, turn),
        };
        chosen.cloned()
    };
    let (Some(prefill), Some(decode)) = (choose(Role::Prefill), choose(Role::Decode)) else {
        let retry_after = Duration::from_secs(1);
        let basis = Basis::default();
        return Verdict::Refusal(Refusal { cause: Cause::NoBackend, retry_after, basis });
    };
    let patience_ms = ask.patience.as_millis() as u64;
    Verdict::Grant(Grant {
        owner: daemon.identity.instance.clone(),
        epoch: 0,
        number: turn,
        prefill,
        decode,
        pieces: 0,
        start_in: Duration::ZERO,
        reason: Reason::Baseline,
        basis: Basis { patience_ms, ..Basis::default() },
    })
}
