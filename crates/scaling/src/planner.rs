//! Decides how many servers of each kind a pool needs in each failure domain.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    DomainServers, Observation, ScalingSpec, Target,
    demand::DemandHistory,
    domain::Domain,
    spread::{self, Place},
};

/// The number of servers is reduced only after it has been too high for this long.
const SHRINK_AFTER: Duration = Duration::from_secs(30);
/// The time between two reductions.
const SHRINK_STEP: Duration = Duration::from_secs(5);
/// The part of the servers by which the number is reduced at a time.
const SHRINK_DIVISOR: u32 = 20;
/// A number that is too high by less than this part is kept. An uneven demand of constant height varies
/// by more than a tenth.
const KEPT_DIVISOR: u32 = 5;
/// The part of the limit of a failure domain that is given up at a time to make room for spot servers.
const ROOM_DIVISOR: u32 = 10;
/// The time beyond the boot time after which the list names all servers that an earlier holder has ordered.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// The list counts as complete once it has named no further servers for this long: it lags, and names servers
/// that start together one after the other.
const LIST_SETTLING: Duration = Duration::from_secs(3);

/// The figures that led to the last targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// The servers that the demand needs.
    pub needed: u32,
    /// The servers that are wanted in all failure domains, with the reserve.
    pub wanted: u32,
    /// The failure domains in which spot servers are expected to be available.
    pub domains_available: u32,
}

/// Decides how many servers one pool needs.
#[derive(Debug, Clone)]
pub struct Planner {
    spec: ScalingSpec,
    demand: DemandHistory,
    /// When the list names all servers that an earlier holder has ordered.
    known_at: Option<Instant>,
    /// Whether no VM has ordered servers before, so that no spot servers are on their way.
    is_first: bool,
    /// The failure domains, from when all servers that an earlier holder has ordered are known.
    domains: BTreeMap<String, Domain>,
    /// The most firm servers that each failure domain has had while it had no spot servers.
    firm_before: BTreeMap<String, u32>,
    /// When the list named further firm servers of them for the last time.
    firm_grew_at: Option<Instant>,
    /// Since when fewer servers would have been enough, and when the last were given up.
    lower_since: Option<Instant>,
    shrunk_at: Option<Instant>,
    /// Whether servers may be given up: not while the demand is unknown.
    may_lower: bool,
    figures: Figures,
}

impl Planner {
    /// Creates the planner of a pool.
    #[must_use]
    pub fn new(spec: ScalingSpec) -> Planner {
        Planner {
            spec,
            demand: DemandHistory::default(),
            known_at: None,
            is_first: false,
            domains: BTreeMap::new(),
            firm_before: BTreeMap::new(),
            firm_grew_at: None,
            lower_since: None,
            shrunk_at: None,
            may_lower: false,
            figures: Figures::default(),
        }
    }

    /// Replaces the limits and prices.
    pub fn set_spec(&mut self, spec: ScalingSpec) {
        self.spec = spec;
    }

    /// Records the demand while another VM orders the servers.
    pub fn observe(&mut self, now: Instant, observation: &Observation) {
        self.record_demand(now, observation);
        self.record_firm(now, observation);
        self.known_at = None;
        self.domains.clear();
        (self.lower_since, self.shrunk_at) = (None, None);
    }

    /// Records that this VM began to order at `since`, and whether no VM has ordered before.
    pub fn took_over(&mut self, since: Instant, is_first: bool) {
        self.known_at = Some(since + self.spec.boot + TAKEOVER_DELAY);
        self.is_first = is_first;
    }

    /// The numbers to order in each known failure domain. There are none until the list names all servers
    /// that an earlier holder may have ordered.
    pub fn plan(&mut self, now: Instant, observation: &Observation) -> Vec<Target> {
        self.record_demand(now, observation);
        self.record_firm(now, observation);
        let known_at = *self.known_at.get_or_insert(now + self.spec.boot + TAKEOVER_DELAY);
        let is_settled = self.firm_grew_at.is_none_or(|it| now >= it + LIST_SETTLING);
        let is_known = now >= known_at && is_settled;
        if !is_known && !self.is_first {
            return Vec::new();
        }
        self.record_servers(now, observation);
        self.may_lower = observation.demand.is_some() || self.demand.need() == 0;
        match is_known {
            true => {
                self.resize(now);
                self.choose_kinds(now);
            }
            false => self.choose_first_spot(now),
        }
        let target = |(name, it): (&String, &Domain)| Target {
            failure_domain: name.clone(),
            firm: is_known.then_some(it.firm),
            spot: it.spot,
        };
        self.domains.iter().map(target).collect()
    }

    /// Records that no spot servers are available in a failure domain.
    pub fn spot_refused(&mut self, now: Instant, failure_domain: &str) {
        if let Some(domain) = self.domains.get_mut(failure_domain) {
            domain.refused(now);
        }
    }

    /// The figures that led to the last targets.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    fn record_demand(&mut self, now: Instant, observation: &Observation) {
        let Some(demand) = observation.demand else { return };
        let serving = observation.servers.values().map(|it| it.serving()).sum();
        self.demand.record(now, demand, serving, self.spec.slots, self.spec.boot);
    }

    fn record_servers(&mut self, now: Instant, observation: &Observation) {
        for (name, listed) in &observation.servers {
            if !self.domains.contains_key(name) {
                let share = self.share_of(name, listed);
                self.domains.insert(name.clone(), Domain::new(now, listed.clone(), share));
            }
        }
        for (name, domain) in &mut self.domains {
            domain.observe(now, observation.servers.get(name));
        }
    }

    fn record_firm(&mut self, now: Instant, observation: &Observation) {
        for (name, listed) in &observation.servers {
            let firm = self.firm_before.entry(name.clone()).or_default();
            if listed.spot + listed.spot_leaving == 0 && listed.firm > *firm {
                *firm = listed.firm;
                self.firm_grew_at = Some(now);
            }
        }
    }

    /// The servers that a failure domain is to keep. While one kind is exchanged for the other, it has more
    /// servers than that.
    fn share_of(&self, name: &str, listed: &DomainServers) -> u32 {
        let spot = listed.spot + listed.spot_leaving;
        let both = listed.firm + spot;
        match self.firm_before.get(name) {
            Some(firm) if listed.firm > 0 && spot > 0 => both.min(spot.max(*firm)),
            _ => both,
        }
    }

    /// Whether the pool's servers are spot servers where available.
    fn uses_spot(&self) -> bool {
        self.spec.is_spot_cheaper(self.domains.len())
    }

    /// Changes the total number of servers: raises it at once, and lowers it slowly.
    fn resize(&mut self, now: Instant) {
        let needed = self.demand.need();
        let total: u32 = self.domains.values().map(|it| it.share).sum();
        let domains = self.domains.len() as u32;
        let wanted = match self.uses_spot() {
            true => with_reserve(needed, domains),
            false => needed,
        };
        let bounds = (self.spec.servers_min, self.spec.servers_max);
        let [least, most] = [bounds.0, bounds.1].map(|it| it.saturating_mul(domains));
        let wanted = wanted.max(least).min(most);
        let mut places = self.places(|it| (it.share, bounds.0, bounds.1));
        let is_disturbed = self.available(now) < self.domains.len();
        if wanted >= total {
            spread::add(&mut places, wanted - total);
            self.lower_since = None;
        } else if needed == 0
            || !self.may_lower
            || is_disturbed
            || total - wanted <= total / KEPT_DIVISOR
        {
            self.lower_since = None;
        } else if self.may_shrink(now) {
            spread::remove(&mut places, (total / SHRINK_DIVISOR).clamp(1, total - wanted));
        }
        for (domain, place) in self.domains.values_mut().zip(places) {
            domain.share = place.count;
        }
        let wanted = self.domains.values().map(|it| it.share).sum();
        let domains_available = self.available(now) as u32;
        self.figures = Figures { needed, wanted, domains_available };
    }

    /// Whether a reduction is due; it then counts as made.
    fn may_shrink(&mut self, now: Instant) -> bool {
        let since = *self.lower_since.get_or_insert(now);
        let may =
            now >= since + SHRINK_AFTER && self.shrunk_at.is_none_or(|it| now >= it + SHRINK_STEP);
        if may {
            self.shrunk_at = Some(now);
        }
        may
    }

    fn available(&self, now: Instant) -> usize {
        self.domains.values().filter(|it| it.is_available(now, self.spec.boot)).count()
    }

    /// A place for each failure domain, in their order.
    fn places(&self, bounds: impl Fn(&Domain) -> (u32, u32, u32)) -> Vec<Place> {
        let place = |(name, it): (&String, &Domain)| {
            let (count, min, max) = bounds(it);
            Place { count, min, max, price_permille: self.spec.price_permille(name) }
        };
        self.domains.iter().map(place).collect()
    }

    /// Divides the servers of each failure domain into the two kinds.
    fn choose_kinds(&mut self, now: Instant) {
        if !self.uses_spot() {
            for domain in self.domains.values_mut().filter(|it| it.is_listed) {
                domain.set_firm(now, domain.share.saturating_sub(domain.listed.spot));
            }
            return;
        }
        self.choose_spot(now);
        self.choose_firm(now);
        for domain in self.domains.values_mut() {
            domain.spot = domain.spot.min(domain.room(self.spec.servers_max));
        }
    }

    /// Orders spot servers while the list may not name all firm servers yet.
    fn choose_first_spot(&mut self, now: Instant) {
        self.domains.values_mut().for_each(Domain::adopt_firm);
        self.resize(now);
        if self.uses_spot() {
            self.choose_spot(now);
        }
    }

    /// Orders spot servers for each share, and in the available failure domains also for those that are
    /// missing elsewhere.
    fn choose_spot(&mut self, now: Instant) {
        let (boot, servers_max) = (self.spec.boot, self.spec.servers_max);
        let is_available = |it: &Domain| it.is_available(now, boot);
        let lost = || self.domains.values().filter(|it| !is_available(it));
        let missing: u32 = lost().map(|it| it.share.saturating_sub(it.listed.serving())).sum();
        let serving_there: u32 = lost().map(|it| it.listed.serving()).sum();
        let available = self.available(now) as u32;
        let shares: u32 =
            self.domains.values().filter(|it| is_available(it)).map(|it| it.share).sum();
        let needed_here = self.figures.needed.saturating_sub(serving_there);
        let reserve = with_reserve(needed_here, available).saturating_sub(shares);
        let mut places = self.places(|it| {
            let max = if is_available(it) { it.room(servers_max).max(it.share) } else { it.share };
            (it.share, it.share, max)
        });
        if missing > 0 {
            spread::add(&mut places, missing.max(reserve));
        }
        for (domain, place) in self.domains.values_mut().zip(places) {
            let room = domain.room(servers_max);
            let count = if self.may_lower { place.count } else { place.count.max(domain.spot) };
            domain.set_spot(now, count, room);
        }
    }

    /// Gives up firm servers as spot servers serve, and orders them where spot servers do not suffice.
    fn choose_firm(&mut self, now: Instant) {
        let Figures { needed, wanted, .. } = self.figures;
        let (boot, servers_max) = (self.spec.boot, self.spec.servers_max);
        let used = || self.domains.values().filter(|it| it.has_firm(now, boot));
        let firm: u32 = used().map(|it| it.firm).sum();
        let spot: u32 = used().map(|it| it.listed.spot).sum();
        let booting: u32 = used().map(|it| it.booting(now, boot)).sum();
        // Firm servers are kept for what there was and what is needed, but not for growth and reserve.
        let before: u32 = self.domains.values().map(|it| it.first_share).sum();
        let replaced = if self.may_lower { spot } else { 0 };
        let kept = firm.min(wanted.min(needed.max(before)).saturating_sub(replaced));
        let total = kept.max(needed.saturating_sub(spot + booting));
        // The places count both kinds, so that the sums become even.
        let mut places = self.places(|it| {
            let spot = it.listed.spot + it.booting(now, boot);
            let both = it.firm + spot;
            match it.has_firm(now, boot) {
                true => (both, spot, servers_max.max(both)),
                false => (both, both, both),
            }
        });
        if total >= firm {
            spread::add(&mut places, total - firm);
        } else {
            spread::remove(&mut places, firm - total);
        }
        for (domain, place) in self.domains.values_mut().zip(places) {
            let spot = domain.listed.spot + domain.booting(now, boot);
            domain.set_firm(now, place.count.saturating_sub(spot));
        }
        self.make_room(now);
    }

    /// Gives up a few firm servers where the limit leaves no room for the spot servers that replace them.
    fn make_room(&mut self, now: Instant) {
        let servers_max = self.spec.servers_max;
        let step = (servers_max / ROOM_DIVISOR).max(1);
        if !self.may_lower || self.available(now) < self.domains.len() {
            return;
        }
        for domain in self.domains.values_mut().filter(|it| it.firm > 0) {
            let is_full = domain.firm + domain.listed.spot >= servers_max;
            let is_settled = domain.firm == domain.listed.firm && domain.is_undisturbed(now);
            if is_full && is_settled {
                domain.set_firm(now, domain.firm - step.min(domain.firm));
            }
        }
    }
}

/// The total of which so many servers remain when the servers of one failure domain are lost.
fn with_reserve(needed: u32, domains: u32) -> u32 {
    match domains {
        0 => 0,
        1 => needed,
        _ => needed.saturating_mul(domains).div_ceil(domains - 1),
    }
}
