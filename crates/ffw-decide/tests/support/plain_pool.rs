//! Simulation of a plain pool: servers with slots and a queue, daemons that choose among them, and
//! callers whose number changes over time.

use {
    ffw_decide::{
        balance::{Balancer, Candidate, Outcome, Preference},
        locality::{self, Locality, Sample},
    },
    ffw_protocol::time::Moment,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
};

/// Requests that wait at a server at most; a further one is rejected without running.
const QUEUE_MAX: usize = 24;

/// Requests that run at a server at once.
const SLOTS: usize = 6;

/// Latency that callers want.
pub(crate) const TARGET: Duration = Duration::from_millis(200);

/// Slowdown that a server reports, given the true one; `None` if it reports none.
pub(crate) type Report = fn(f64, Moment) -> Option<f64>;

/// Bytes that a request and its answer have.
const BYTES: u64 = 4_000;

/// Name of a data centre.
pub(crate) fn name_of(data_centre: usize) -> Arc<str> {
    format!("dc-{data_centre}").into()
}

/// A server of the pool.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) name: Arc<str>,
    pub(crate) data_centre: usize,
    /// Usual time of a request.
    pub(crate) service: Duration,
    /// Times at which the server is slow, and by how much.
    pub(crate) slow: fn(Moment, usize) -> f64,
    pub(crate) report: Report,
    /// Whether each call fails from a time on.
    pub(crate) dead_from: Option<Moment>,
    pub(crate) running: usize,
    pub(crate) waiting: Vec<usize>,
}

impl Server {
    pub(crate) fn new(index: usize, data_centre: usize, service: Duration) -> Server {
        Server {
            name: format!("server-{index:02}").into(),
            data_centre,
            service,
            slow: |_, _| 1.0,
            report: |_, _| None,
            dead_from: None,
            running: 0,
            waiting: Vec::new(),
        }
    }

    fn is_dead(&self, now: Moment) -> bool {
        self.dead_from.is_some_and(|from| now >= from)
    }
}

/// The load and the machines.
pub(crate) struct Scene {
    pub(crate) servers: Vec<Server>,
    /// Daemons of each data centre.
    pub(crate) daemons: Vec<usize>,
    /// Requests per second of a data centre's callers at a moment.
    pub(crate) rate: fn(usize, Moment) -> f64,
    /// Time of one way between two data centres.
    pub(crate) trip: Duration,
    pub(crate) duration: Duration,
    /// Price of a GB between data centres in milliseconds; `None` for the constant factor.
    pub(crate) gb_ms: Option<f64>,
}

/// What the callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: usize,
    /// Answered within the target.
    pub(crate) good: usize,
    pub(crate) refused: usize,
    /// Calls that reached a server.
    pub(crate) arrivals: usize,
    /// Calls to a server of another data centre.
    pub(crate) away: usize,
    /// Answers of each server.
    pub(crate) answers: Vec<usize>,
    /// Time, daemon and share at the first attempt of each request, at which the share changes.
    pub(crate) shares: Vec<(Moment, usize, f64)>,
}

impl Tally {
    pub(crate) fn goodput(&self) -> f64 {
        self.good as f64 / self.requests as f64
    }
}

struct Call {
    daemon: usize,
    began_at: Moment,
    sent_at: Moment,
    server: usize,
    tried: Vec<Arc<str>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { data_centre: usize },
    Arrival { call: usize },
    End { call: usize },
    Answer { call: usize, is_served: bool, load: u32, percent: Option<u32> },
}

struct Daemon {
    data_centre: usize,
    balancer: Balancer,
    /// `None` for the constant factor.
    locality: Option<Locality>,
    turn: u64,
}

struct Run<'a> {
    scene: &'a Scene,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Moment, usize, Event)>>,
    event_count: usize,
    random: ChaCha8Rng,
    tally: Tally,
}

/// Replays a scene.
pub(crate) fn replay(scene: &Scene, seed: u64) -> Tally {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = Vec::new();
    for (data_centre, count) in scene.daemons.iter().enumerate() {
        daemons.extend((0..*count).map(|_| Daemon {
            data_centre,
            balancer: Balancer::default(),
            locality: scene.gb_ms.map(|gb_ms| Locality::new(name_of(data_centre), gb_ms)),
            turn: random.gen_range(0..1_000_000),
        }));
    }
    let servers = scene.servers.clone();
    let tally = Tally { answers: vec![0; servers.len()], ..Tally::default() };
    let mut run = Run {
        scene,
        servers,
        daemons,
        calls: Vec::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        random,
        tally,
    };
    for data_centre in 0..scene.daemons.len() {
        run.schedule_request(Moment::from_millis(1), data_centre);
    }
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.handle(now, event);
    }
    run.tally
}

impl Run<'_> {
    fn schedule(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_request(&mut self, now: Moment, data_centre: usize) {
        let rate = (self.scene.rate)(data_centre, now);
        // A data centre without callers is looked at again soon.
        let wait_s = if rate > 0.0 {
            -(1.0 - self.random.gen_range(0.0..1.0_f64)).ln() / rate
        } else {
            0.05
        };
        let at = now + Duration::from_secs_f64(wait_s);
        if at < Moment(0) + self.scene.duration {
            self.schedule(at, Event::Request { data_centre });
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Request { data_centre } => {
                self.schedule_request(now, data_centre);
                if (self.scene.rate)(data_centre, now) > 0.0 {
                    self.begin(now, data_centre);
                }
            }
            Event::Arrival { call } => self.arrive(now, call),
            Event::End { call } => self.end(now, call),
            Event::Answer { call, is_served, load, percent } => {
                self.answer(now, call, is_served, load, percent);
            }
        }
    }

    fn begin(&mut self, now: Moment, data_centre: usize) {
        let of_centre: Vec<usize> = (0..self.daemons.len())
            .filter(|index| self.daemons[*index].data_centre == data_centre)
            .collect();
        let daemon = of_centre[self.random.gen_range(0..of_centre.len())];
        self.tally.requests += 1;
        self.send(now, now, daemon, Vec::new());
    }

    fn send(&mut self, now: Moment, began_at: Moment, daemon: usize, mut tried: Vec<Arc<str>>) {
        let home = self.daemons[daemon].data_centre;
        let candidates: Vec<Candidate> = self
            .servers
            .iter()
            .map(|server| Candidate {
                name: server.name.clone(),
                data_centre: name_of(server.data_centre),
                is_local: server.data_centre == home,
            })
            .collect();
        let chooser = &mut self.daemons[daemon];
        // A request takes a number for its pool as well.
        chooser.turn += 2;
        let pool: Arc<str> = "pool".into();
        let mut data_centres: Vec<Arc<str>> =
            candidates.iter().map(|candidate| candidate.data_centre.clone()).collect();
        data_centres.sort();
        data_centres.dedup();
        let request = locality::Request {
            pool: &pool,
            target: TARGET,
            data_centres: &data_centres,
            turn: chooser.turn,
        };
        let is_first = tried.is_empty();
        let choice = match &mut chooser.locality {
            Some(locality) if is_first => locality.choose(now, &request),
            _ => None,
        };
        let preference = match (&chooser.locality, &choice) {
            (Some(_), Some(choice)) => Preference::DataCentre(&choice.data_centre),
            (Some(_), None) => Preference::Any,
            (None, _) => Preference::Near,
        };
        let chosen = chooser.balancer.choose(now, &candidates, &tried, chooser.turn, preference);
        let share = chooser.locality.as_ref().and_then(|locality| locality.shares().next());
        let share = share.map_or(0.0, |(_, share)| share);
        if is_first {
            self.tally.shares.push((now, daemon, share));
        }
        let Some(name) = chosen else {
            self.tally.refused += 1;
            return;
        };
        let server = self.servers.iter().position(|server| server.name == name).expect("listed");
        self.tally.away += usize::from(self.servers[server].data_centre != home);
        tried.push(name);
        let call = self.calls.len();
        self.calls.push(Call { daemon, began_at, sent_at: now, server, tried });
        let at = now + self.trip(call);
        self.schedule(at, Event::Arrival { call });
    }

    fn trip(&self, call: usize) -> Duration {
        let Call { daemon, server, .. } = &self.calls[call];
        let is_away = self.daemons[*daemon].data_centre != self.servers[*server].data_centre;
        if is_away { self.scene.trip } else { Duration::from_micros(200) }
    }

    fn arrive(&mut self, now: Moment, call: usize) {
        let index = self.calls[call].server;
        self.tally.arrivals += 1;
        let server = &mut self.servers[index];
        if server.is_dead(now) || server.running == SLOTS && server.waiting.len() == QUEUE_MAX {
            self.reply(now, call, false);
        } else if server.running == SLOTS {
            server.waiting.push(call);
        } else {
            server.running += 1;
            self.start(now, call);
        }
    }

    fn start(&mut self, now: Moment, call: usize) {
        let index = self.calls[call].server;
        let server = &self.servers[index];
        let factor = (server.slow)(now, index) * self.random.gen_range(0.7..1.3);
        self.schedule(now + server.service.mul_f64(factor), Event::End { call });
    }

    fn end(&mut self, now: Moment, call: usize) {
        let server = &mut self.servers[self.calls[call].server];
        if server.waiting.is_empty() {
            server.running -= 1;
        } else {
            let next = server.waiting.remove(0);
            self.start(now, next);
        }
        self.reply(now, call, true);
    }

    fn reply(&mut self, now: Moment, call: usize, is_served: bool) {
        let index = self.calls[call].server;
        let server = &self.servers[index];
        let load = (server.running + server.waiting.len()) as u32;
        let reported = (server.report)((server.slow)(now, index), now);
        let percent = reported.map(|slowdown| (slowdown * 100.0) as u32);
        let at = now + self.trip(call);
        self.schedule(at, Event::Answer { call, is_served, load, percent });
    }

    fn answer(
        &mut self,
        now: Moment,
        call: usize,
        is_served: bool,
        load: u32,
        percent: Option<u32>,
    ) {
        let Call { daemon, began_at, sent_at, server, ref tried } = self.calls[call];
        let tried = tried.clone();
        let is_dead = self.servers[server].is_dead(now);
        let name = self.servers[server].name.clone();
        let balancer = &mut self.daemons[daemon].balancer;
        if !is_dead {
            balancer.record_load(now, &name, f64::from(load) / SLOTS as f64);
        }
        if let Some(percent) = percent {
            balancer.record_slowdown(now, &name, f64::from(percent) / 100.0);
        }
        let outcome = match is_served {
            true => Outcome::Answered(now.since(sent_at)),
            false if is_dead => Outcome::Failed,
            false => Outcome::Rejected,
        };
        balancer.record_end(now, &name, outcome);
        if let Some(locality) = &mut self.daemons[daemon].locality {
            let sample = match outcome {
                Outcome::Answered(time) => Sample::Answered(time, BYTES),
                _ => Sample::Missed,
            };
            let data_centre = name_of(self.servers[server].data_centre);
            locality.record(now, &"pool".into(), &data_centre, sample);
        }
        if is_served {
            self.tally.answers[server] += 1;
            self.tally.good += usize::from(now.since(began_at) <= TARGET);
        } else if tried.len() < 2 {
            self.send(now, began_at, daemon, tried);
        } else {
            self.tally.refused += 1;
        }
    }
}
