//! The steps of a plan: faults, restarts, and changes by the operator.

use {
    super::{Harness, STEP_PAUSE, objects},
    crate::{
        check::{self, Disturbance, Removal, Reroute},
        daemon::SHUTDOWN_GRACE_S,
        plan::Step,
        proxy::{Fault, Proxy},
        worker::Oddity,
    },
    eyre::Result,
    ffw_runtime::{executor, timer},
    rustix::process::Signal,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Prefix of the kinds of objects that the daemons write.
const OWN_KINDS: &str = "fireflyworks-";

/// Time after a restore of the store until servers and the operator write again what it has lost.
const REWRITE_TIME: Duration = Duration::from_millis(600);

/// Time between a change of the configuration and a silence of the store.
const SILENCE_DELAY: Duration = Duration::from_millis(5);

/// Time after which the store sends a response once more.
const REPEAT_TIME: Duration = Duration::from_millis(20);

/// Time after the end of a fault for which the daemons still count as disturbed by it.
const DISTURBANCE_MARGIN: Duration = Duration::from_secs(4);

/// Time without a disruption from which the users' rules hold.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after a loss for which requests are checked, beyond [`STABLE_TIME`].
const CHECKED_TIME: Duration = Duration::from_secs(2);

impl Harness {
    /// Records that a fault affects the daemons for a time.
    pub(super) fn record_disturbance(&mut self, duration: Duration) {
        let until = Instant::now() + duration + DISTURBANCE_MARGIN;
        self.disturbances.push(Disturbance { from: Instant::now(), until });
        self.disturbed_until = self.disturbed_until.max(until);
        let now = Instant::now();
        // Daemons that are disturbed may miss later bounds: route changes are checked only up to
        // now, and removals whose bound has not passed yet are not checked.
        self.reroutes.iter_mut().for_each(|reroute| reroute.until = reroute.until.min(now));
        self.removals
            .retain(|removal| now.saturating_duration_since(removal.written_at) > removal.bound);
    }

    pub(super) fn is_disturbed(&self) -> bool {
        Instant::now() < self.disturbed_until
    }

    /// Executes one step; faults with a duration end by themselves.
    pub(super) async fn execute(&mut self, step: Step) -> Result<()> {
        match step {
            Step::Restart(index) => {
                self.record_disturbance(Duration::from_secs(SHUTDOWN_GRACE_S));
                self.daemons[index].signal(Signal::TERM);
            }
            Step::Kill(index) => {
                self.record_disturbance(Duration::ZERO);
                self.daemons[index].signal(Signal::KILL);
            }
            Step::KillAll => {
                self.record_disturbance(Duration::ZERO);
                self.record_kill();
                self.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
            }
            Step::OutOfStep(stopped, duration) => {
                self.record_disturbance(duration);
                self.daemons[stopped].signal(Signal::STOP);
                timer::sleep(duration).await;
                self.record_kill();
                let others = self.daemons.iter().enumerate().filter(|(index, _)| *index != stopped);
                others.for_each(|(_, daemon)| daemon.signal(Signal::KILL));
                self.daemons[stopped].signal(Signal::CONT);
            }
            Step::Pause(index, duration) => {
                self.record_disturbance(duration);
                self.daemons[index].signal(Signal::STOP);
                timer::sleep(duration).await;
                self.daemons[index].signal(Signal::CONT);
            }
            Step::Reload(index) => self.daemons[index].signal(Signal::HUP),
            Step::Store(fault, duration) => {
                self.record_disturbance(duration);
                set_fault_for(duration, self.store_proxy.clone(), fault);
            }
            Step::Compact => self.store.compact(),
            Step::Restore(away) => self.restore(away).await,
            Step::LoseAnswers(duration) => {
                let store = self.store.clone();
                store.set_loses_responses(true);
                after(duration, move || store.set_loses_responses(false));
            }
            Step::Server(index, fault, duration) => {
                set_fault_for(duration, self.servers[index].proxy.clone(), fault)
            }
            Step::BreakOff(index, duration) => {
                set_flag_for(duration, &self.servers[index].worker.aborts_responses)
            }
            Step::Full(index, duration) => {
                set_flag_for(duration, &self.servers[index].worker.is_full)
            }
            Step::Replace(index, is_announced) => {
                let is_checked = !self.is_disturbed();
                let removal = self.replace(index, None, is_announced, check::DRAIN_BOUND).await?;
                self.removals.extend(Some(removal).filter(|_| is_checked));
            }
            Step::Upgrade(turn, is_announced) => self.upgrade(turn, is_announced).await?,
            Step::MoveRoutes => self.move_routes(),
            Step::Odd(index, oddity, duration) => self.answer_oddly(index, oddity, duration),
            Step::StoreSilence(duration) => self.silence_store(duration).await,
            Step::StoreLoss(fault, every, duration) => {
                self.lose_on_store(fault, every, duration).await?;
            }
            Step::StoreRepeats(duration) => {
                let store = self.store.clone();
                store.set_repeat_after(REPEAT_TIME);
                after(duration, move || store.set_repeat_after(Duration::ZERO));
            }
            Step::OddObjects(number) => self.put_odd_objects(number),
            Step::Rest(duration) => timer::sleep(duration).await,
        }
        Ok(())
    }

    /// Takes the store away and restores it from a snapshot of the moment before. Changes that the
    /// operator and the servers make meanwhile are written again after it is back.
    async fn restore(&mut self, away: Duration) {
        self.record_disturbance(away + REWRITE_TIME);
        let snapshot = self.store.snapshot();
        self.move_routes();
        timer::sleep(away / 2).await;
        self.store_proxy.set_fault(Fault::Silence);
        timer::sleep(away / 2).await;
        let before = self.store.snapshot();
        self.store.restore(&snapshot);
        self.store_proxy.set_fault(Fault::None);
        timer::sleep(REWRITE_TIME).await;
        self.store.rewrite(&before, OWN_KINDS);
    }

    fn answer_oddly(&mut self, index: usize, oddity: Oddity, duration: Duration) {
        let mut odd = vec![self.servers[index].worker.clone()];
        if oddity == Oddity::ErrorInStream {
            set_flag_for(duration, &odd[0].aborts_responses);
            odd = self.servers.iter().map(|server| server.worker.clone()).collect();
            odd.remove(index);
        }
        for worker in odd {
            worker.set_oddity(Some(oddity));
            after(duration, move || worker.set_oddity(None));
        }
    }

    /// Lets the store fall silent right after a change, on which the daemons begin to watch again:
    /// it never reads those calls.
    async fn silence_store(&mut self, duration: Duration) {
        self.move_routes();
        timer::sleep(SILENCE_DELAY).await;
        self.record_disturbance(duration);
        self.store.set_silent(true);
        timer::sleep(duration).await;
        self.store.set_silent(false);
        timer::sleep(DISTURBANCE_MARGIN).await;
        self.move_routes();
    }

    /// Loses what is sent on connections to the store; the routes move and a server leaves in the
    /// middle of it. Both must be known once the daemons have been undisturbed for a time.
    async fn lose_on_store(
        &mut self,
        fault: Fault,
        every: usize,
        duration: Duration,
    ) -> Result<()> {
        while self.is_disturbed() {
            timer::sleep(STEP_PAUSE).await;
            self.restart_exited()?;
        }
        let lost_until = Instant::now() + duration;
        match every {
            1 => self.store_proxy.set_fault(fault),
            _ => self.store_proxy.lose_open(fault, every),
        }
        self.record_disturbance(duration);
        timer::sleep(duration / 2).await;
        let recovered_in = lost_until + STABLE_TIME - Instant::now();
        self.move_routes();
        self.check_reroute(check::CONFIG_BOUND.max(recovered_in));
        let removal = self.replace(0, None, false, check::DRAIN_BOUND.max(recovered_in)).await?;
        self.removals.push(removal);
        timer::sleep(duration / 2).await;
        self.store_proxy.set_fault(Fault::None);
        timer::sleep(STABLE_TIME + CHECKED_TIME).await;
        Ok(())
    }

    /// Writes odd objects of each kind that the daemons read, in place of earlier ones.
    fn put_odd_objects(&self, number: u32) {
        for kind in [objects::SERVER_KIND, "config", "fireflyworks-daemons", "fireflyworks-leases"]
        {
            for (index, content) in objects::odd(number).into_iter().enumerate() {
                self.store.put(kind, &format!("odd\r\n{index}"), content.clone());
                self.store.put(kind, &format!("odd-{index}"), content);
            }
        }
    }

    /// Replaces a server by one of another software version, or of the same; the old one must get no
    /// requests a time after it has left.
    pub(super) async fn replace(
        &mut self,
        index: usize,
        version: Option<&str>,
        is_announced: bool,
        bound: Duration,
    ) -> Result<Removal> {
        let worker = self.servers[index].worker.clone();
        let version = version.map(str::to_owned).or_else(|| worker.version());
        let new = self.new_server(&worker.service, worker.role, version).await?;
        let old = std::mem::replace(&mut self.servers[index], new);
        let name = old.worker.name.clone();
        if is_announced {
            self.store.put(objects::SERVER_KIND, &name, objects::server(&old, "draining"));
        } else {
            self.store.remove(objects::SERVER_KIND, &name);
        }
        Ok(Removal { server: name, written_at: Instant::now(), bound })
    }

    fn move_routes(&mut self) {
        let now = Instant::now();
        self.reroutes.iter_mut().for_each(|reroute| reroute.until = reroute.until.min(now));
        self.service = if self.service == "app-a" { "app-b" } else { "app-a" };
        self.configure();
        if !self.is_disturbed() {
            // A response that was due before the change may come first.
            self.check_reroute(check::CONFIG_BOUND + self.options.store_delay * 2);
        }
    }

    /// Lets the latest move of the routes be checked from a time after now on.
    fn check_reroute(&mut self, bound: Duration) {
        let written_at = Instant::now();
        let until = written_at + Duration::from_secs(3_600);
        self.reroutes.push(Reroute { service: self.service.into(), written_at, bound, until });
    }
}

fn set_fault_for(duration: Duration, proxy: Proxy, fault: Fault) {
    proxy.set_fault(fault);
    after(duration, move || proxy.set_fault(Fault::None));
}

fn set_flag_for(duration: Duration, flag: &Arc<AtomicBool>) {
    let flag = flag.clone();
    flag.store(true, Ordering::SeqCst);
    after(duration, move || flag.store(false, Ordering::SeqCst));
}

/// Does something after a time, in the background.
pub(super) fn after(duration: Duration, action: impl FnOnce() + Send + 'static) {
    executor::detach(async move {
        timer::sleep(duration).await;
        action();
    });
}
