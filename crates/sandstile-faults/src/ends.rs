//! The ends of links, and words that pick some of them.
use std::fmt;

/// One process, or all clients together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Router(usize),
    /// The discovery agent of a router.
    Agent(usize),
    Host {
        name: String,
        group: String,
        zone: String,
    },
    Clients,
}

impl Endpoint {
    /// Whether two ends ever talk: routers to all, clients to routers alone.
    pub fn talks_to(&self, other: &Endpoint) -> bool {
        match (self, other) {
            (Endpoint::Router(a), Endpoint::Router(b)) => a != b,
            (Endpoint::Router(a), Endpoint::Agent(b)) | (Endpoint::Agent(b), Endpoint::Router(a)) => a == b,
            (Endpoint::Router(_), _) | (_, Endpoint::Router(_)) => true,
            _ => false,
        }
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Endpoint::Router(n) => write!(f, "router {n}"),
            Endpoint::Agent(n) => write!(f, "agent {n}"),
            Endpoint::Host { name, .. } => f.write_str(name),
            Endpoint::Clients => f.write_str("clients"),
        }
    }
}

/// Some ends: `router:3`, `router:0-7`, `router:*`, `agent:…` alike, `host:NAME`, `host:*`, `group:NAME`, `zone:NAME`
/// (database hosts of that zone), `clients`. Several are divided by blanks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSelector(Vec<One>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum One {
    Routers(usize, usize),
    Agents(usize, usize),
    Host(String),
    AnyHost,
    Group(String),
    Zone(String),
    Clients,
}

impl EndpointSelector {
    /// The message says which word is none of ours.
    pub fn parse(text: &str) -> Result<EndpointSelector, String> {
        let all = text.split_whitespace().map(one).collect::<Result<Vec<_>, _>>()?;
        match all.is_empty() {
            true => Err("nothing is picked".to_string()),
            false => Ok(EndpointSelector(all)),
        }
    }

    pub fn matches(&self, end: &Endpoint) -> bool {
        self.0.iter().any(|one| match (one, end) {
            (One::Routers(from, to), Endpoint::Router(n)) | (One::Agents(from, to), Endpoint::Agent(n)) => {
                (*from..=*to).contains(n)
            }
            (One::Host(want), Endpoint::Host { name, .. }) => want == name,
            (One::AnyHost, Endpoint::Host { .. }) | (One::Clients, Endpoint::Clients) => true,
            (One::Group(want), Endpoint::Host { group, .. }) => want == group,
            (One::Zone(want), Endpoint::Host { zone, .. }) => want == zone,
            _ => false,
        })
    }

    /// Names of hosts, groups and zones, for a check against those that there are.
    pub fn names(&self) -> impl Iterator<Item = (&'static str, &str)> {
        self.0.iter().filter_map(|one| match one {
            One::Host(name) => Some(("host", name.as_str())),
            One::Group(name) => Some(("group", name.as_str())),
            One::Zone(name) => Some(("zone", name.as_str())),
            _ => None,
        })
    }

    /// The last router or agent that is named by number.
    pub fn max_number(&self) -> Option<usize> {
        let of = |one: &One| match one {
            One::Routers(_, to) | One::Agents(_, to) if *to != usize::MAX => Some(*to),
            _ => None,
        };
        self.0.iter().filter_map(of).max()
    }
}

fn one(word: &str) -> Result<One, String> {
    let forms =
        "router:N, router:N-M, router:*, agent:N, host:NAME, host:*, group:NAME, zone:NAME or clients";
    let wrong = || format!("'{word}' picks nothing; one of: {forms}");
    if word == "clients" {
        return Ok(One::Clients);
    }
    let (kind, of) = word.split_once(':').filter(|(_, of)| !of.is_empty()).ok_or_else(wrong)?;
    let range = || -> Result<(usize, usize), String> {
        if of == "*" {
            return Ok((0, usize::MAX));
        }
        let (from, to) = of.split_once('-').unwrap_or((of, of));
        match (from.parse(), to.parse()) {
            (Ok(from), Ok(to)) if from <= to => Ok((from, to)),
            _ => Err(wrong()),
        }
    };
    match kind {
        "router" => range().map(|(from, to)| One::Routers(from, to)),
        "agent" => range().map(|(from, to)| One::Agents(from, to)),
        "host" if of == "*" => Ok(One::AnyHost),
        "host" => Ok(One::Host(of.to_string())),
        "group" => Ok(One::Group(of.to_string())),
        "zone" => Ok(One::Zone(of.to_string())),
        _ => Err(wrong()),
    }
}
