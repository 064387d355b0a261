//! Endpoints of links, and selectors that name a set of endpoints.
use std::fmt;

/// One process, or all clients as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Router(usize),
    /// The discovery agent of the router with this number.
    Agent(usize),
    Host {
        name: String,
        group: String,
        zone: String,
    },
    Clients,
}

impl Endpoint {
    /// Whether a link exists between two endpoints: routers talk to all others, but to no
    /// agent except their own; hosts, agents and clients talk to routers only.
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

/// A set of endpoints, parsed from terms separated by blanks: `router:3`, `router:0-7`, `router:*`, the same
/// forms with `agent:`, `host:NAME`, `host:*`, `group:NAME`, `zone:NAME` (database hosts of that zone),
/// `clients`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSelector(Vec<SelectorTerm>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum SelectorTerm {
    Routers(usize, usize),
    Agents(usize, usize),
    Host(String),
    AnyHost,
    Group(String),
    Zone(String),
    Clients,
}

impl EndpointSelector {
    /// The error names the term that is invalid.
    pub fn parse(text: &str) -> Result<EndpointSelector, String> {
        let all = text.split_whitespace().map(parse_term).collect::<Result<Vec<_>, _>>()?;
        match all.is_empty() {
            true => Err("nothing is selected".to_string()),
            false => Ok(EndpointSelector(all)),
        }
    }

    pub fn matches(&self, endpoint: &Endpoint) -> bool {
        self.0.iter().any(|term| match (term, endpoint) {
            (SelectorTerm::Routers(from, to), Endpoint::Router(n))
            | (SelectorTerm::Agents(from, to), Endpoint::Agent(n)) => (*from..=*to).contains(n),
            (SelectorTerm::Host(wanted), Endpoint::Host { name, .. }) => wanted == name,
            (SelectorTerm::AnyHost, Endpoint::Host { .. }) | (SelectorTerm::Clients, Endpoint::Clients) => {
                true
            }
            (SelectorTerm::Group(wanted), Endpoint::Host { group, .. }) => wanted == group,
            (SelectorTerm::Zone(wanted), Endpoint::Host { zone, .. }) => wanted == zone,
            _ => false,
        })
    }

    /// The names of hosts, groups and zones that the selector contains, to be checked against those that
    /// exist.
    pub fn names(&self) -> impl Iterator<Item = (&'static str, &str)> {
        self.0.iter().filter_map(|term| match term {
            SelectorTerm::Host(name) => Some(("host", name.as_str())),
            SelectorTerm::Group(name) => Some(("group", name.as_str())),
            SelectorTerm::Zone(name) => Some(("zone", name.as_str())),
            _ => None,
        })
    }

    /// The highest router or agent number that the selector contains.
    pub fn max_number(&self) -> Option<usize> {
        let number = |term: &SelectorTerm| match term {
            SelectorTerm::Routers(_, to) | SelectorTerm::Agents(_, to) if *to != usize::MAX => Some(*to),
            _ => None,
        };
        self.0.iter().filter_map(number).max()
    }
}

fn parse_term(term: &str) -> Result<SelectorTerm, String> {
    let forms =
        "router:N, router:N-M, router:*, agent:N, host:NAME, host:*, group:NAME, zone:NAME or clients";
    let invalid = || format!("'{term}' is not an endpoint; one of: {forms}");
    if term == "clients" {
        return Ok(SelectorTerm::Clients);
    }
    let (kind, argument) =
        term.split_once(':').filter(|(_, argument)| !argument.is_empty()).ok_or_else(invalid)?;
    let range = || -> Result<(usize, usize), String> {
        if argument == "*" {
            return Ok((0, usize::MAX));
        }
        let (from, to) = argument.split_once('-').unwrap_or((argument, argument));
        match (from.parse(), to.parse()) {
            (Ok(from), Ok(to)) if from <= to => Ok((from, to)),
            _ => Err(invalid()),
        }
    };
    match kind {
        "router" => range().map(|(from, to)| SelectorTerm::Routers(from, to)),
        "agent" => range().map(|(from, to)| SelectorTerm::Agents(from, to)),
        "host" if argument == "*" => Ok(SelectorTerm::AnyHost),
        "host" => Ok(SelectorTerm::Host(argument.to_string())),
        "group" => Ok(SelectorTerm::Group(argument.to_string())),
        "zone" => Ok(SelectorTerm::Zone(argument.to_string())),
        _ => Err(invalid()),
    }
}
