//! What daemons tell each other and the store of the crashes that they know, and what they take over.

use {
    super::{
        Quarantine, bounded, inner,
        suspect::{self, Record},
        verdict::Verdict,
    },
    ffw_protocol::{
        digest,
        quarantine::{self as protocol, Beginning, Clearing, Crash, Evidence, Progress, names},
        time::Moment,
    },
    std::time::Duration,
};

impl Quarantine {
    /// Adds the evidence of another daemon.
    pub fn merge(&mut self, now: Moment, evidence: &Evidence) {
        for Clearing { part, cause, age } in &evidence.clearings {
            self.cleared.record(*part, *cause, inner(now) - *age);
        }
        for crash in &evidence.crashes {
            let Crash { server, prompt, had_output, age } = crash;
            let (server, prompt) = (server.clone(), bounded(prompt));
            let at = inner(now) - *age;
            let progress = if *had_output { Progress::Midway } else { Progress::Unanswered };
            self.add_crash(Record { server, prompt, progress, at });
        }
    }

    /// The crashes, and the clearings of their parts.
    pub fn evidence(&self, now: Moment) -> Evidence {
        let age = |at: Moment| inner(now).since(at);
        let to_crash = |record: &Record| Crash {
            server: record.server.clone(),
            prompt: record.prompt.clone(),
            had_output: record.progress != Progress::Unanswered,
            age: age(record.at),
        };
        let clearings = self.cleared.evidence(inner(now), &self.told_parts());
        Evidence { crashes: self.crashes.iter().map(to_crash).collect(), clearings }
    }

    /// The crashed runs whose answers had just begun, in order. Messages of earlier builds tell only
    /// whether a run was answered.
    pub fn beginnings(&self) -> Vec<Beginning> {
        let begun = self.crashes.iter().filter(|record| record.progress == Progress::Begun);
        let to_beginning =
            |record: &Record| Beginning { server: record.server.clone(), own: record.prompt.own };
        let mut beginnings: Vec<Beginning> = begun.map(to_beginning).collect();
        beginnings.sort();
        beginnings
    }

    /// Takes over which of the known runs had just begun.
    pub fn merge_beginnings(&mut self, beginnings: &[Beginning]) {
        for Beginning { server, own } in beginnings {
            let is_same =
                |record: &&mut Record| record.server == *server && record.prompt.own == *own;
            if let Some(record) = self.crashes.iter_mut().find(is_same) {
                record.progress = record.progress.min(Progress::Begun);
            }
        }
    }

    /// Whether a run that was being answered has ended with its server at most this long ago.
    pub fn has_answered_crash(&self, now: Moment, age_max: Duration) -> bool {
        let is_recent = |record: &Record| inner(now).since(record.at) <= age_max;
        let is_answered = |record: &Record| record.progress != Progress::Unanswered;
        self.crashes.iter().any(|record| is_answered(record) && is_recent(record))
    }

    /// Number that differs between daemons whose evidence leads to different verdicts.
    pub fn digest(&self) -> u64 {
        let to_row = |record: &Record| {
            let shared = record.prompt.shared.iter();
            let blamed: Vec<u64> =
                shared.copied().filter(|part| self.is_put_down(record, *part)).collect();
            format!("{} {:x} {}", record.server, record.prompt.own, names(&blamed))
        };
        let mut rows: Vec<String> = self.crashes.iter().map(to_row).collect();
        // As long as the crashes are known, they tell what is held.
        let has_crash =
            |verdict: &&Verdict| self.crashes.iter().any(|record| verdict.is_of(&record.prompt));
        let alone = self.verdicts.iter().filter(|verdict| !has_crash(verdict));
        rows.extend(alone.map(|verdict| format!("verdict {}", names(&verdict.parts))));
        rows.sort_unstable();
        let rows: Vec<&str> = rows.iter().map(String::as_str).collect();
        digest::hash64(&rows)
    }

    /// Whether there is nothing to tell other daemons.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.verdicts.is_empty() && self.released.is_empty()
    }

    /// What is to outlive all daemons: the verdicts, and the evidence of crashes that none of them
    /// explains. Of a crash all runs are stored, as those of victims alone would blame their parts.
    pub fn stored(&self, now: Moment) -> (Vec<protocol::Verdict>, Evidence) {
        let verdicts = self.verdicts.iter().map(|verdict| verdict.to_stored(inner(now))).collect();
        let is_explained = |event: &suspect::Event<'_>| {
            self.verdicts.iter().any(|verdict| event.has(&verdict.parts))
        };
        let mut unexplained = suspect::events(&self.crashes);
        unexplained.retain(|event| !is_explained(event));
        let mut evidence = self.evidence(now);
        evidence.crashes.retain(|crash| unexplained.iter().any(|event| event.is_of(&crash.server)));
        (verdicts, evidence)
    }

    /// Takes over what was stored, but for sets that were released here.
    pub fn adopt(&mut self, now: Moment, verdicts: &[protocol::Verdict], evidence: &Evidence) {
        for stored in verdicts.iter().filter(|stored| !stored.parts.is_empty()) {
            // A set that was narrowed since is known with fewer parts.
            let known = self.verdicts.iter_mut().find(|verdict| verdict.covers(&stored.parts));
            match known {
                Some(verdict) => verdict.merge_tries(stored),
                None if self.released.iter().any(|released| released.parts == stored.parts) => {}
                None => self.add_verdict(Verdict::from_stored(inner(now), stored)),
            }
        }
        self.merge(now, evidence);
    }

    /// The parts whose clearings other daemons need, in order.
    fn told_parts(&self) -> Vec<u64> {
        let mut parts = self.parts();
        parts.extend(self.verdicts.iter().flat_map(|verdict| &verdict.parts));
        parts.extend(self.released.iter().flat_map(|released| &released.parts));
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// The parts of the crashed runs, in order.
    pub(super) fn parts(&self) -> Vec<u64> {
        let shared = self.crashes.iter().flat_map(|record| &record.prompt.shared);
        let mut parts: Vec<u64> = shared.copied().collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }
}
