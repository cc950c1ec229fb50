//! The list of cache servers in discovery's words, and as the module's.

use decide::{Availability, ServerEntry, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Discovery's answer: the whole list, or what changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// One cache server in it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Host {
    pub host: String,
    /// Where it listens; one that is gone may have no address.
    pub dial: Option<SocketAddr>,
    pub site: Option<String>,
    pub class: Option<String>,
    pub block: Option<u64>,
    pub health: String,
    pub share: Option<f64>,
    pub born_ms: Option<u64>,
}

impl Listing {
    /// Takes in what came after it: a whole list, or changes.
    pub fn merge(&mut self, news: &Self) {
        if news.whole {
            *self = news.clone();
            return;
        }
        self.seq = news.seq;
        for host in &news.hosts {
            self.hosts.retain(|other| other.host != host.host);
        }
        self.hosts.extend(news.hosts.iter().filter(|host| host.health != "gone").cloned());
    }
}

impl Host {
    /// The entry as the module knows it.
    pub fn entry(&self) -> ServerEntry {
        let started = self.born_ms.filter(|&at| at > 0);
        ServerEntry {
            id: self.host.as_str().into(),
            zone: self.site.as_deref().map(Into::into),
            kind: self.class.as_deref().map(Into::into),
            cell: self.block.unwrap_or(0),
            availability: match self.health.as_str() {
                "ready" => Availability::Ready,
                "gone" => Availability::Gone,
                // Draining, or a state that this version does not know: keep away from that server.
                _ => Availability::Draining,
            },
            weight: self.share.filter(|share| share.is_finite() && *share >= 0.0).unwrap_or(1.0),
            started: started.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}
