//! The servers of a shard: the list of them, and what they report.

use {
    super::{
        Member, Members, Shard,
        server::{Decode, Prefill},
    },
    ffw_protocol::time::Moment,
    std::sync::Arc,
};

impl Shard {
    /// Takes the list of servers over. What a vanished server held is gone with it.
    pub fn set_members(&mut self, members: &Members) {
        self.set_prefills(&members.prefills);
        self.set_decodes(&members.decodes);
    }

    fn set_prefills(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|one| &*one.server.name == name);
        for key in self.prefills.keys_where(|one| !is_listed(&one.server.name)) {
            self.prefills.remove(key);
            let orphans = self
                .reservations
                .values_mut()
                .filter(|reservation| reservation.prefill == Some(key));
            orphans.for_each(|reservation| reservation.prefill = None);
        }
        for member in members {
            let known = self.prefills.find(|one| one.server.name == member.server.name);
            let key =
                known.unwrap_or_else(|| self.prefills.insert(Prefill::new(member.server.clone())));
            if let Some(server) = self.prefills.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    fn set_decodes(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|one| &*one.server.name == name);
        for key in self.decodes.keys_where(|one| !is_listed(&one.server.name)) {
            let reservations =
                self.decodes.get(key).map(|one| one.reservations.clone()).unwrap_or_default();
            reservations
                .into_iter()
                .for_each(|reservation| self.end_reservation(reservation, None));
            self.decodes.remove(key);
        }
        for member in members {
            let known = self.decodes.find(|one| one.server.name == member.server.name);
            let token_time = self.settings.token_time;
            let key = known.unwrap_or_else(|| {
                self.decodes.insert(Decode::new(member.server.clone(), token_time))
            });
            if let Some(server) = self.decodes.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    /// Takes a server's load report over.
    pub fn record_load(&mut self, now: Moment, server: &str, running: u32) {
        if let Some(decode) = self.decodes.values_mut().find(|one| &*one.server.name == server) {
            decode.record_load(now, running);
        }
        if let Some(key) = self.prefills.find(|one| &*one.server.name == server) {
            let known =
                self.reservations.keys_where(|reservation| reservation.prefill == Some(key)).len()
                    as u32;
            if let Some(prefill) = self.prefills.get_mut(key) {
                prefill.unaccounted = running.saturating_sub(known);
            }
        }
    }

    /// Servers whose load reports show more than the places known here.
    pub fn with_unaccounted_load(&self) -> Vec<Arc<str>> {
        let prefills = self.prefills.iter().filter(|(_, one)| one.unaccounted > 0);
        let decodes = self.decodes.iter().filter(|(_, one)| one.unaccounted > 0);
        let prefills = prefills.map(|(_, one)| one.server.name.clone());
        prefills.chain(decodes.map(|(_, one)| one.server.name.clone())).collect()
    }

    /// Takes a prefill server's cache event over.
    pub fn record_cached(&mut self, server: &str, prefix: u64, stored: bool) {
        if let Some(prefill) = self.prefills.values_mut().find(|one| &*one.server.name == server) {
            prefill.hints.note(prefix, stored);
        }
    }
}
