//! The ends of links, and words that pick some of them.
use std::fmt;

/// One process, or all clients together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
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

impl End {
    /// Whether two ends ever talk: routers to all, clients to routers alone.
    pub fn talks_to(&self, other: &End) -> bool {
        match (self, other) {
            (End::Router(a), End::Router(b)) => a != b,
            (End::Router(a), End::Agent(b)) | (End::Agent(b), End::Router(a)) => a == b,
            (End::Router(_), _) | (_, End::Router(_)) => true,
            _ => false,
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            End::Router(n) => write!(f, "router {n}"),
            End::Agent(n) => write!(f, "agent {n}"),
            End::Host { name, .. } => f.write_str(name),
            End::Clients => f.write_str("clients"),
        }
    }
}

/// Some ends: `router:3`, `router:0-7`, `router:*`, `agent:…` alike, `host:NAME`, `host:*`, `group:NAME`, `zone:NAME`
/// (database hosts of that zone), `clients`. Several are divided by blanks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick(Vec<One>);

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

impl Pick {
    /// The message says which word is none of ours.
    pub fn read(text: &str) -> Result<Pick, String> {
        let all = text.split_whitespace().map(one).collect::<Result<Vec<_>, _>>()?;
        match all.is_empty() {
            true => Err("nothing is picked".to_string()),
            false => Ok(Pick(all)),
        }
    }

    pub fn holds(&self, end: &End) -> bool {
        self.0.iter().any(|one| match (one, end) {
            (One::Routers(from, to), End::Router(n)) | (One::Agents(from, to), End::Agent(n)) => {
                (*from..=*to).contains(n)
            }
            (One::Host(want), End::Host { name, .. }) => want == name,
            (One::AnyHost, End::Host { .. }) | (One::Clients, End::Clients) => true,
            (One::Group(want), End::Host { group, .. }) => want == group,
            (One::Zone(want), End::Host { zone, .. }) => want == zone,
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
    pub fn highest(&self) -> Option<usize> {
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
