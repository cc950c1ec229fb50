//! The list of cache servers in discovery's words, and as the module's.

mod salvage;

use balancer_core::discovery::ListEntry;
use balancer_core::{Endpoint, EndpointState, Timestamp};
use serde::de::DeserializeSeed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// What is said of a server that takes work.
const READY: &str = "ready";

/// What is no list.
#[derive(Debug, Error)]
pub enum Malformed {
    /// Where, and what was expected there.
    #[error("not a list: {0}")]
    At(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Two lists in one answer are none.
    #[error("not a list: {0}")]
    After(#[from] serde_json::Error),
}

/// Discovery's answer: the whole list, or what changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// What an answer that is no list, or not yet, says of servers that are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    /// The version of the answer, as far as it can be read.
    pub version: Option<u64>,
    /// They.
    pub names: BTreeSet<String>,
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
        // One after the other: a server may stand twice among changes.
        for host in &news.hosts {
            self.hosts.retain(|other| other.host != host.host);
            self.hosts.extend(Some(host).filter(|host| host.health != "gone").cloned());
        }
    }

    /// Reads discovery's answer.
    pub fn read(body: &[u8]) -> Result<Self, Malformed> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let listing = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        Ok(listing)
    }

    /// The servers that are told to be leaving in an answer, as far as it can be read: it may break off anywhere, and entries
    /// may lack what a list needs. Of what is told of one server the last holds.
    pub fn leaving(body: &[u8]) -> Leaving {
        let mut salvaged = salvage::Salvaged::default();
        let mut json = serde_json::Deserializer::from_slice(body);
        // How it ends does not matter: what came before was told.
        let _ = salvage::Answer(&mut salvaged).deserialize(&mut json);
        let leaving = salvaged.told.into_iter().filter(|(_, health)| health != READY);
        Leaving { version: salvaged.version, names: leaving.map(|(host, _)| host).collect() }
    }

    /// Servers of these names take no work, whatever the list says.
    pub fn withhold(&mut self, names: &BTreeSet<String>) {
        for host in self.hosts.iter_mut().filter(|host| names.contains(&host.host)) {
            if let Some(leaving) = host.leaving() {
                *host = leaving;
            }
        }
    }

    /// Its entries, as far as it matters to whether it is taken.
    pub fn listed(&self) -> Vec<ListEntry<'_>> {
        self.hosts.iter().map(Host::listed).collect()
    }

    /// The servers of a whole list that take work.
    pub fn ready(&self) -> impl Iterator<Item = String> + '_ {
        let ready = self.hosts.iter().filter(|host| host.availability() == EndpointState::Ready);
        ready.map(|host| host.host.clone())
    }
}

impl Host {
    fn told(&self) -> EndpointState {
        match self.health.as_str() {
            READY => EndpointState::Ready,
            "gone" => EndpointState::Removed,
            // Draining, or a state that this version does not know: keep away from that server.
            _ => EndpointState::Draining,
        }
    }

    /// As it is told, but that a server which nobody knows the way to takes no work.
    fn availability(&self) -> EndpointState {
        match self.told() {
            EndpointState::Ready if self.dial.is_none() => EndpointState::Draining,
            told => told,
        }
    }

    /// The same server on its way out; `None` for one that takes no work in any case.
    pub fn leaving(&self) -> Option<Self> {
        let ready = self.availability() == EndpointState::Ready;
        ready.then(|| Self { health: "draining".into(), ..self.clone() })
    }

    fn listed(&self) -> ListEntry<'_> {
        ListEntry { id: &self.host, state: self.told(), has_address: self.dial.is_some() }
    }

    /// The entry as the module knows it.
    pub fn entry(&self) -> Endpoint {
        let started = self.born_ms.filter(|&at| at > 0);
        Endpoint {
            id: self.host.as_str().into(),
            zone: self.site.as_deref().map(Into::into),
            kind: self.class.as_deref().map(Into::into),
            cell: self.block.unwrap_or(0),
            state: self.availability(),
            weight: self.share.filter(|share| share.is_finite() && *share >= 0.0).unwrap_or(1.0),
            started_at: started.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIST: &str = r#"{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:7070","site":"a","class":"m2",
        "block":3,"health":"ready","share":1.0,"born_ms":0},{"host":"s-2","dial":null,"health":"gone"}]}"#;

    fn problem(text: &str) -> String {
        Listing::read(text.as_bytes()).expect_err("no list").to_string()
    }

    #[test]
    fn a_list_that_is_cut_off_anywhere_is_none() {
        assert_eq!(Listing::read(LIST.as_bytes()).expect("a list").hosts.len(), 2);
        for cut in 0..LIST.len() {
            assert!(Listing::read(&LIST.as_bytes()[..cut]).is_err(), "cut at {cut}");
        }
    }

    #[test]
    fn what_is_wrong_is_named_with_its_place() {
        let cases = [
            ("\"health\":\"gone\"", "\"share\":2", "hosts[1]: missing field `health`"),
            ("\"host\":\"s-2\",", "", "hosts[1]: missing field `host`"),
            ("127.0.0.1:7070", "nowhere", "hosts[0].dial: invalid socket address syntax"),
            ("\"seq\":41", "\"seq\":-1", "seq: invalid value: integer `-1`, expected u64"),
            ("\"whole\":true,", "", "missing field `whole`"),
            ("\"block\":3", "\"block\":1e400", "number out of range"),
        ];
        for (from, to, words) in cases {
            assert!(LIST.contains(from), "{from}");
            let found = problem(&LIST.replace(from, to));
            assert!(found.contains(words), "{found}; expected {words}");
        }
        assert!(problem(&format!("{LIST}{LIST}")).contains("trailing characters"));
        assert!(problem("").contains("EOF"));
        assert!(problem("[]").starts_with("not a list: "));
    }

    #[test]
    fn changes_are_merged_in_their_order_and_a_ready_server_without_an_address_takes_no_work() {
        let mut list = Listing::read(LIST.as_bytes()).expect("a list");
        list.hosts.truncate(1);
        let change = |health: &str| Host { health: health.into(), ..list.hosts[0].clone() };
        let hosts = vec![change("draining"), change("gone")];
        let mut gone = list.clone();
        gone.merge(&Listing { seq: 42, whole: false, hosts });
        assert_eq!((gone.seq, gone.hosts.len()), (42, 0));
        let lost = Host { dial: None, ..change("ready") };
        assert_eq!(lost.entry().state, EndpointState::Draining);
        list.merge(&Listing { seq: 42, whole: false, hosts: vec![change("gone"), lost] });
        assert_eq!((list.hosts.len(), list.ready().count()), (1, 0));
    }

    #[test]
    fn what_is_told_to_be_leaving_is_read_from_an_answer_that_is_no_list() {
        let leaving = |text: &str| Vec::from_iter(Listing::leaving(text.as_bytes()).names).join(",");
        let cases = [
            (r#"{"seq":2,"whole":false,"hosts":[{"host":"a","health":"draining"},{"host":"b"#, "a"),
            (
                r#"{"hosts":[{"host":"a","health":"draining"},{"host":7},{"health":"gone"},{"host":"b","health":"gone"}]"#,
                "a,b",
            ),
            (r#"{"hosts":[{"host":"a","health":"draining","dial":"nowhere"}],"seq":-1,"whole":3}"#, "a"),
            (r#"{"hosts":[{"host":"a","health":"draining"},{"host":"a","health":"ready"}]}"#, ""),
            (r#"{"hosts":[{"host":"a","health":"ready"},{"host":"a","health":"draining"}]}"#, "a"),
            (r#"{"hosts":[3,null,[],"x",{"host":"a","health":"lame-duck"}]}"#, "a"),
            (r#"{"more":{"hosts":[{"host":"a","health":"draining"}]},"hosts":null}"#, ""),
            (r#"[{"host":"a","health":"draining"}]"#, ""),
            ("", ""),
        ];
        for (text, names) in cases {
            assert_eq!(leaving(text), names, "{text}");
            // Discovery may indent its lists.
            let spread = text.replace(',', ",\n  ").replace('{', "{\n\t").replace(':', " : ");
            assert_eq!(leaving(&spread), names, "{spread}");
        }
    }

    proptest! {
        #[test]
        fn what_is_told_before_an_answer_breaks_off_is_read_wherever_it_does(servers in 1..40_usize, cut in 0.0..1.0_f64) {
            let entry = |i| format!(r#"{{"host":"s-{i:02}","dial":null,"health":"draining"}}"#);
            let mut text = String::from(r#"{"seq":1,"whole":false,"hosts":["#);
            let mut ends = Vec::new();
            for i in 0..servers {
                text += &entry(i);
                ends.push(text.len());
                text += if i + 1 < servers { "," } else { "]}" };
            }
            let cut = (text.len() as f64 * cut) as usize;
            let whole = ends.iter().filter(|end| **end <= cut).count();
            prop_assert_eq!(Listing::leaving(&text.as_bytes()[..cut]).names.len(), whole);
        }

        #[test]
        fn any_bytes_can_be_looked_into(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = Listing::leaving(&bytes);
        }

        #[test]
        fn any_bytes_are_a_list_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = Listing::read(&bytes);
        }

        #[test]
        fn a_list_with_a_stretch_replaced_is_a_list_or_an_error_in_words(from in 0..LIST.len(), length in 0..30_usize, with in ".{0,9}") {
            let bytes = LIST.as_bytes();
            let to = (from + length).min(bytes.len());
            let spoilt = [&bytes[..from], with.as_bytes(), &bytes[to..]].concat();
            if let Err(error) = Listing::read(&spoilt) {
                prop_assert!(error.to_string().len() > "not a list: ".len());
            }
        }
    }
}
