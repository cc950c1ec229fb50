//! What clients ask for, and when: pure, in the order of time. All that belongs to an ask is drawn by its number.

use crate::draw::{Draw, Zipf};
use crate::script::{Incident, Script, Trouble};
use std::f64::consts::TAU;
use std::time::Duration;

/// A client's wish: one or more tries follow from it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its number, from 0.
    pub number: u64,
    /// When its first try is sent.
    pub at: Duration,
    /// Its class's place in the script.
    pub class: usize,
    /// The entry that it is about, by rank: 0 is asked for most often.
    pub key: u32,
    /// The zone that it is asked in.
    pub zone: usize,
    /// The source of all that is drawn for it.
    pub draw: Draw,
}

impl Ask {
    /// The source of all that is drawn for one of its tries, from 0.
    pub fn of_try(&self, number: u32) -> Draw {
        self.draw.on(100 + u64::from(number))
    }

    /// The key as nodes and cache servers know it.
    pub fn key_number(&self) -> u64 {
        key_number(self.key)
    }
}

/// The key of a rank as nodes and cache servers know it.
pub fn key_number(rank: u32) -> u64 {
    Draw::new(0x6b65_7973).on(u64::from(rank)).bits()
}

/// All asks of a script, in the order of time.
#[derive(Debug)]
pub struct Demand<'a> {
    script: &'a Script,
    zipf: Zipf,
    draw: Draw,
    next: u64,
    /// The clock of a steady rate 1: what is asked more of runs through it faster.
    at: f64,
}

impl<'a> Demand<'a> {
    /// Of this script.
    pub fn new(script: &'a Script) -> Self {
        let zipf = Zipf::new(script.load.keys, script.load.zipf);
        Self { script, zipf, draw: Draw::new(script.seed).on(0x6173_6b73), next: 0, at: 0.0 }
    }

    /// First tries a second at this time.
    fn rate(&self, at: f64) -> f64 {
        let load = &self.script.load;
        let wave = 1.0 + load.swing * (TAU * at / load.swing_every.as_secs_f64()).sin();
        let surges = running(self.script, at).filter_map(|incident| match incident.what {
            Trouble::Surge { factor } => Some(factor),
            _ => None,
        });
        load.rate * wave * surges.product::<f64>()
    }

    fn key(&self, at: f64, draw: Draw) -> u32 {
        for (i, incident) in running(self.script, at).enumerate() {
            if let Trouble::HotKeys { keys, share } = incident.what {
                let draw = draw.on(i as u64);
                if draw.on(0).unit() < share {
                    // Not the most asked for already: from the middle of the entries, the same for the incident.
                    let start =
                        Draw::new(self.script.seed).on(incident.at.as_micros() as u64).unit() / 2.0 + 0.25;
                    let first = (start * f64::from(self.script.load.keys)) as u32;
                    let hot = first + (draw.on(1).unit() * f64::from(keys)) as u32;
                    return hot.min(self.script.load.keys - 1);
                }
            }
        }
        self.zipf.rank(draw.on(u64::MAX))
    }
}

/// The incidents under way at this time, in seconds.
fn running(script: &Script, at: f64) -> impl Iterator<Item = &Incident> {
    let under_way = move |incident: &&Incident| {
        (incident.at.as_secs_f64()..(incident.at + incident.over).as_secs_f64()).contains(&at)
    };
    script.incidents.iter().filter(under_way)
}

impl Iterator for Demand<'_> {
    type Item = Ask;

    fn next(&mut self) -> Option<Ask> {
        let draw = self.draw.on(self.next);
        self.at += draw.on(1).exponential() / self.rate(self.at);
        if self.at >= self.script.length.as_secs_f64() {
            return None;
        }
        let classes = &self.script.classes;
        let parts: f64 = classes.iter().map(|class| class.share).sum();
        let mut left = draw.on(2).unit() * parts;
        let class = classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        let zones = self.script.zones.len();
        let first = self.script.load.first_zone;
        let zone = match draw.on(3).unit() {
            _ if zones == 1 => 0,
            at if at < first => 0,
            at => 1 + ((at - first) / (1.0 - first) * (zones - 1) as f64) as usize,
        };
        let ask = Ask {
            number: self.next,
            at: Duration::from_secs_f64(self.at),
            class: class.unwrap_or(classes.len() - 1),
            key: self.key(self.at, draw.on(4)),
            zone: zone.min(zones - 1),
            draw,
        };
        self.next += 1;
        Some(ask)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn asks_come_at_the_rate_and_in_the_parts_that_the_script_says() {
        let script = Script::default();
        let asks: Vec<_> = Demand::new(&script).collect();
        let count = asks.len() as f64;
        assert!((count / (410.0 * 50.0) - 1.0).abs() < 0.05, "{count}");
        let part = |of: &dyn Fn(&Ask) -> bool| asks.iter().filter(|ask| of(ask)).count() as f64 / count;
        assert!((part(&|ask| ask.class == 0) - 0.35).abs() < 0.02);
        assert!((part(&|ask| ask.zone == 0) - 0.55).abs() < 0.02);
        assert!(asks.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }

    #[test]
    fn a_hot_key_draws_its_share_while_it_lasts_and_a_surge_its_factor() {
        let hot = Incident {
            at: Duration::from_secs(10),
            over: Duration::from_secs(10),
            zone: None,
            what: Trouble::HotKeys { keys: 1, share: 0.24 },
        };
        let surge = Incident {
            at: Duration::from_secs(30),
            over: Duration::from_secs(10),
            zone: None,
            what: Trouble::Surge { factor: 2.0 },
        };
        let base = Script::default();
        let load = crate::script::Load { swing: 0.0, ..base.load.clone() };
        let script = Script { incidents: vec![hot, surge], load, ..base };
        let within = |from: u64, key: Option<u32>| {
            let span = Duration::from_secs(from)..Duration::from_secs(from + 10);
            Demand::new(&script)
                .filter(|ask| span.contains(&ask.at) && key.is_none_or(|key| ask.key == key))
                .count()
        };
        let mut counts = std::collections::BTreeMap::new();
        Demand::new(&script)
            .for_each(|ask| *counts.entry(ask.key).or_insert(0) += u32::from(ask.at.as_secs() / 10 == 1));
        let key = *counts.iter().max_by_key(|(_, count)| **count).unwrap().0;
        let share = within(10, Some(key)) as f64 / within(10, None) as f64;
        assert!((share - 0.24).abs() < 0.03, "{share}");
        assert!(within(20, Some(key)) < within(10, Some(key)) / 20);
        let factor = within(30, None) as f64 / within(0, None) as f64;
        assert!((factor - 2.0).abs() < 0.2, "{factor}");
    }
}
