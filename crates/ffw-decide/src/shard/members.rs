//! The list of a shard's servers, and their load reports and cache events.

use {
    super::{
        Member, Members, Shard,
        server::{Decode, Prefill},
    },
    ffw_protocol::time::Moment,
    std::sync::Arc,
};

impl Shard {
    /// Replaces the list of servers. Reservations at a removed decode server end; those at a
    /// removed prefill server go on without it.
    pub fn set_members(&mut self, members: &Members) {
        self.set_prefills(&members.prefills);
        self.set_decodes(&members.decodes);
    }

    fn set_prefills(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|member| &*member.server.name == name);
        for key in self.prefills.keys_where(|server| !is_listed(&server.server.name)) {
            self.prefills.remove(key);
            let affected = self
                .reservations
                .values_mut()
                .filter(|reservation| reservation.prefill == Some(key));
            affected.for_each(|reservation| reservation.prefill = None);
        }
        for member in members {
            let found = self.prefills.find(|server| server.server.name == member.server.name);
            let key =
                found.unwrap_or_else(|| self.prefills.insert(Prefill::new(member.server.clone())));
            if let Some(server) = self.prefills.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    fn set_decodes(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|member| &*member.server.name == name);
        for key in self.decodes.keys_where(|server| !is_listed(&server.server.name)) {
            let reservations =
                self.decodes.get(key).map(|decode| decode.reservations.clone()).unwrap_or_default();
            reservations
                .into_iter()
                .for_each(|reservation| self.end_reservation(reservation, None));
            self.decodes.remove(key);
        }
        for member in members {
            let found = self.decodes.find(|server| server.server.name == member.server.name);
            let token_time = self.settings.token_time;
            let key = found.unwrap_or_else(|| {
                self.decodes.insert(Decode::new(member.server.clone(), token_time))
            });
            if let Some(server) = self.decodes.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    /// Records a server's load report of `running` requests. Those beyond the reservations of this
    /// shard count as unaccounted load.
    pub fn record_load(&mut self, now: Moment, server: &str, running: u32) {
        if let Some(decode) =
            self.decodes.values_mut().find(|decode| &*decode.server.name == server)
        {
            decode.record_load(now, running);
        }
        if let Some(key) = self.prefills.find(|prefill| &*prefill.server.name == server) {
            let reserved =
                self.reservations.keys_where(|reservation| reservation.prefill == Some(key)).len()
                    as u32;
            if let Some(prefill) = self.prefills.get_mut(key) {
                prefill.unaccounted = running.saturating_sub(reserved);
            }
        }
    }

    /// Names of servers whose load reports show more than the reservations of this shard.
    pub fn servers_with_unaccounted_load(&self) -> Vec<Arc<str>> {
        let prefills = self.prefills.iter().filter(|(_, prefill)| prefill.unaccounted > 0);
        let decodes = self.decodes.iter().filter(|(_, decode)| decode.unaccounted > 0);
        let prefills = prefills.map(|(_, prefill)| prefill.server.name.clone());
        prefills.chain(decodes.map(|(_, decode)| decode.server.name.clone())).collect()
    }

    /// Records a cache event of a prefill server: the prefix with this hash was stored or evicted.
    pub fn record_cache_event(&mut self, server: &str, prefix: u64, stored: bool) {
        if let Some(prefill) =
            self.prefills.values_mut().find(|prefill| &*prefill.server.name == server)
        {
            prefill.hints.record_event(prefix, stored);
        }
    }
}
