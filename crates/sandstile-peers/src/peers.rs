//! Who is there, which view holds, and what follows for the rest of the router.
use crate::gate::Bucket;
use crate::seal::{Opener, Refused, Sealer, Secret};
use sandstile_membership::swim::Known;
use sandstile_membership::{Change, Meta, State, Swim};
use sandstile_membership_view::{may, About, Look, Sharers, View, Views, Way};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What our own file says, with what this process draws for itself. Seconds.
#[derive(Clone, Debug)]
pub struct Terms {
    pub name: String,
    /// Higher than that of any former life under this name.
    pub life: u64,
    /// Where the others find it.
    pub at: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub meta: Meta,
    /// Between probes of one member after the other.
    pub period: f64,
    /// Routers that share the hosts, by the platform's settings; `None` where members as lived change nothing there.
    pub share: Option<usize>,
    /// The newest first.
    pub keys: Vec<Secret>,
}

/// What is worth a line of log, or an act.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Change(Change),
    /// The view that holds from now on, and what was seen.
    View(View, Look),
    /// So many share the hosts.
    Sharers(f64),
    /// Those that are to be told what is known here are just these.
    Tell(BTreeSet<SocketAddr>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub letters: u64,
    pub unreadable: u64,
    pub forged: u64,
    pub replayed: u64,
    pub flooded: u64,
    /// Letters that were not sent, for there were too many.
    pub held_back: u64,
    pub names_taken: u64,
    pub deaths: u64,
    pub suspicions: u64,
}

/// All that operators may want to know.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: String,
    pub life: u64,
    pub at: SocketAddr,
    pub meta: Meta,
    pub view: View,
    /// Seconds for which it has held.
    pub holds_for: f64,
    pub look: Look,
    pub digest: u64,
    /// 0 where this router hears well; the higher, the slower it holds others for dead.
    pub health: u32,
    pub sharers: Option<f64>,
    pub members: Vec<Known>,
    pub counts: Counts,
    /// Bytes and letters sent.
    pub sent: (u64, u64),
}

/// Seconds between looks at the view: hysteresis counts in seconds.
const LOOKS: f64 = 0.25;
/// Views that were told longer ago say nothing.
const FRESH: f64 = 5.0;

/// Periods without a word of anybody: each member is asked about once a period, and asks as often, so that silence is no chance.
const SILENT: f64 = 6.0;
/// Seconds for which it counts that others said this router dead: they say it again while they do not hear it.
const BURIED: f64 = 3.0;
/// Seconds between saying that a name is taken twice.
const TWIN: f64 = 10.0;

pub struct Peers {
    swim: Swim,
    sealer: Sealer,
    opener: Opener,
    views: Views,
    sharers: Option<Sharers>,
    out: Bucket,
    terms: Terms,
    look_at: f64,
    twin_said: f64,
    told: BTreeSet<SocketAddr>,
    news: Vec<News>,
    counts: Counts,
}

impl Peers {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Peers {
        let swim = sandstile_membership::Terms {
            meta: terms.meta.clone(),
            period: terms.period,
            patience: terms.period * 0.4,
            ..sandstile_membership::Terms::usual(&terms.name, terms.life, terms.at, terms.seeds.clone())
        };
        Peers {
            swim: Swim::new(swim, seed, now),
            sealer: Sealer::new(terms.keys.clone(), terms.life),
            opener: Opener::new(terms.keys.clone(), now),
            views: Views::new(now),
            sharers: terms.share.map(Sharers::new),
            out: Bucket::out(now),
            terms,
            look_at: now,
            twin_said: f64::NEG_INFINITY,
            told: BTreeSet::new(),
            news: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// A datagram.
    pub fn received(&mut self, now: f64, bytes: &[u8]) {
        match self.opener.open(now, bytes) {
            Ok((letter, key)) => {
                self.counts.letters += 1;
                if let Some(from) = self.swim.received(now, letter) {
                    self.sealer.heard(from, key);
                }
                self.heed(now);
            }
            Err(Refused::Unreadable) => self.counts.unreadable += 1,
            Err(Refused::Forged) => self.counts.forged += 1,
            Err(Refused::Replayed) => self.counts.replayed += 1,
            Err(Refused::Flooded) => self.counts.flooded += 1,
        }
    }

    pub fn due(&self) -> f64 {
        self.swim.due().min(self.look_at)
    }

    pub fn woken(&mut self, now: f64) {
        if self.swim.due() <= now {
            self.swim.woken(now);
        }
        self.heed(now);
        if self.look_at <= now {
            self.look_at = now + LOOKS;
            self.look(now);
        }
    }

    /// What has changed among the members.
    fn heed(&mut self, now: f64) {
        let changes = self.swim.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Died(_) => self.counts.deaths += 1,
                Change::Suspected(_) => self.counts.suspicions += 1,
                Change::NameTaken(_) => {
                    self.counts.names_taken += 1;
                    // Each letter of the other tells it anew.
                    if now < self.twin_said + TWIN {
                        continue;
                    }
                    self.twin_said = now;
                }
                _ => {}
            }
            self.news.push(News::Change(change));
        }
        self.look(now);
        let there = self.swim.there();
        let told: BTreeSet<SocketAddr> = there.filter_map(|(r, _)| r.meta.exchange).collect();
        if told != self.told {
            self.told = told.clone();
            self.news.push(News::Tell(told));
        }
    }

    fn seen(&self, now: f64) -> Look {
        let of = |state: State| self.swim.all().filter(|(r, _)| r.state == state).count();
        Look {
            there: self.swim.count() - 1,
            suspects: of(State::Suspect),
            dead: of(State::Dead),
            differing: self.swim.differing(now, FRESH).0,
            seeds: self.terms.seeds.iter().filter(|s| **s != self.terms.at).count(),
            silent: now - self.swim.heard() > SILENT * self.terms.period,
            buried: now - self.swim.buried() < BURIED,
        }
    }

    fn look(&mut self, now: f64) {
        let look = self.seen(now);
        if let Some(view) = self.views.look(now, &look) {
            self.news.push(News::View(view, look));
        }
        if let Some(sharers) = &mut self.sharers {
            let before = sharers.count();
            let count = sharers.look(now, self.views.view(), look.there + 1);
            if count != before {
                self.news.push(News::Sharers(count));
            }
        }
    }

    /// The one place where it is asked what may be done on a peer's word.
    pub fn may(&self, about: About, way: Way, own: bool) -> bool {
        may(self.views.view(), about, way, own)
    }

    /// Farewell: others need not wonder.
    pub fn leave(&mut self) {
        self.swim.leave();
    }

    /// Keys have changed.
    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.sealer.rotate(keys.clone());
        self.opener.rotate(keys);
    }

    /// What is to go out. Beyond so many bytes a second letters are left out, as a net may lose any: whoever asks a thousand
    /// times for all that is known does not make this router a gun.
    pub fn take_out(&mut self, now: f64) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut out = Vec::new();
        for (to, letter) in self.swim.take_out() {
            if self.out.takes_all(now, letter.len() as f64) {
                out.push((to, self.sealer.seal(to, &letter)));
            } else {
                self.counts.held_back += 1;
            }
        }
        out
    }

    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn view(&self) -> View {
        self.views.view()
    }

    pub fn digest(&self) -> u64 {
        self.swim.digest()
    }

    pub fn count(&self) -> usize {
        self.swim.count()
    }

    pub fn report(&self, now: f64) -> Report {
        Report {
            name: self.terms.name.clone(),
            life: self.swim.life(),
            at: self.terms.at,
            meta: self.terms.meta.clone(),
            view: self.views.view(),
            holds_for: now - self.views.since(),
            look: self.seen(now),
            digest: self.swim.digest(),
            health: self.swim.health(),
            sharers: self.sharers.as_ref().map(Sharers::count),
            members: self.swim.known(now, FRESH),
            counts: self.counts,
            sent: self.swim.sent,
        }
    }

    /// Entries of state, which have a bound whoever speaks.
    pub fn held(&self) -> usize {
        self.swim.held() + self.opener.held()
    }
}
