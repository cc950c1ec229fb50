//! Reads the site files in `deploy/sites` and formats their settings as the simulator sends them.

use std::error::Error;
use std::path::Path;
use toml::{Table, Value};

/// The part of a site file that balancing decisions depend on.
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Names of its zones.
    pub zones: Vec<String>,
    /// Names of its request classes.
    pub classes: Vec<String>,
    /// Names of its tenants.
    pub tenants: Vec<String>,
    file: Table,
}

/// Returns all sites, each in two variants: as in its file, and with the origin as an endpoint (cache-aside).
pub fn all() -> Result<Vec<Site>, Box<dyn Error>> {
    let mut sites = Vec::new();
    for name in ["harbour-permits", "hill-archive"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml")))?;
        sites.push(Site::new(name, text.parse()?));
        let mut cache_aside: Table = text.parse()?;
        let family =
            cache_aside.get_mut("fam").and_then(Value::as_table_mut).ok_or("a site without a family")?;
        family.insert("mode".into(), "aside".into());
        sites.push(Site::new(&format!("{name}, aside"), cache_aside));
    }
    Ok(sites)
}

impl Site {
    fn new(name: &str, file: Table) -> Self {
        let names = |list: Option<&Value>| {
            let tables = list.and_then(Value::as_array).into_iter().flatten();
            tables.filter_map(|table| Some(table.get("name")?.as_str()?.to_owned())).collect()
        };
        let zones = file.get("net").and_then(|net| net.get("zones")).and_then(Value::as_array);
        let zones = zones.into_iter().flatten().filter_map(|zone| Some(zone.as_str()?.to_owned()));
        Self {
            name: name.to_owned(),
            zones: zones.collect(),
            classes: names(file.get("class")),
            tenants: names(file.get("tenant")),
            file,
        }
    }

    /// Returns whether the origin is an endpoint.
    pub fn is_aside(&self) -> bool {
        self.text("fam", "mode") == Some("aside")
    }

    /// Returns whether the cache servers report hits and misses.
    pub fn reports_hits(&self) -> bool {
        self.flag("fam", "tells_hit")
    }

    /// Returns the line that starts an instance in this zone. `rng` picks the value of each setting that the site file
    /// gives as a range.
    pub fn start_line(
        &self,
        instance: usize,
        seed: u64,
        zone: &str,
        nodes: u32,
        rng: &mut fastrand::Rng,
    ) -> String {
        let mut line = format!("power_on who={instance} prng={seed} az={zone} balancers={nodes}");
        let mut add = |name: &str, value: String| line.push_str(&format!(" {name}={value}"));
        self.add_classes(&mut add);
        let tenants = self.tables("tenant");
        add("orgs.count", tenants.len().to_string());
        for (index, tenant) in tenants.iter().enumerate() {
            add(&format!("orgs.{index}.name"), text(tenant, "name").unwrap_or("t").to_owned());
            add(&format!("orgs.{index}.quota_per_s"), (number(tenant, "share", rng) * 400.0).to_string());
        }
        let polled = self.text("discovery", "mode") == Some("ask");
        add("membership_mode", if polled { "subscribe" } else { "automatic" }.to_owned());
        add("shapes", "std,origin".to_owned());
        add("family_info.mode", if self.is_aside() { "aside" } else { "through" }.to_owned());
        add("family_info.origin_kind", if self.is_aside() { "1" } else { "-1" }.to_owned());
        for (setting, key) in
            [("cancelling", "cancel"), ("second_copies", "second_copies"), ("probing", "probes")]
        {
            add(&format!("limits.{setting}"), self.flag("allow", key).to_string());
        }
        add("limits.retry_after", self.flag("allow", "retry_after").to_string());
        add("limits.max_retry_after_us", self.micros("clients", "max_retry_after_ms", rng));
        add("limits.most_tries", self.positive_integer("allow", "max_attempts", rng));
        let tier = self.tables("tier").first().cloned().unwrap_or_default();
        let connections = tier.get("conn").and_then(Value::as_table).cloned().unwrap_or_default();
        add("limits.connect_timeout_us", micros(number(&connections, "connect_timeout_ms", rng)));
        add("limits.keepalive_us", micros(number(&connections, "idle_s", rng) * 1000.0));
        add("weights", text(&tier, "weights").unwrap_or("nominal").to_owned());
        let kinds = tier.get("kind").and_then(Value::as_array);
        let kind = kinds.and_then(|kinds| kinds.first()?.as_table().cloned()).unwrap_or_default();
        add("safety.cold_share", number(&kind, "cold_from", rng).to_string());
        add("safety.warm_within_us", micros(number(&kind, "cold_s", rng) * 1000.0));
        add("safety.fall_multiple", self.number("rules", "fall_multiple", rng).to_string());
        add("safety.fall_us", self.micros("rules", "fall_ms", rng));
        add("safety.stop_sending_within_us", self.micros("rules", "drain_grace_ms", rng));
        add("safety.ask_within_us", "10000000".to_owned());
        line
    }

    fn add_classes(&self, add: &mut impl FnMut(&str, String)) {
        // The site files give class settings as plain numbers, so this generator is not used.
        let mut rng = fastrand::Rng::with_seed(0);
        let classes = self.tables("class");
        add("lanes.count", classes.len().to_string());
        for (index, class) in classes.iter().enumerate() {
            let mut set = |name: &str, value: String| add(&format!("lanes.{index}.{name}"), value);
            set("name", text(class, "name").unwrap_or("c").to_owned());
            set("effect", text(class, "effect").unwrap_or("unsafe").to_owned());
            set("dedup_scope", text(class, "group").unwrap_or("all").to_owned());
            set("promise_us", micros(number(class, "aim_ms", &mut rng)));
            set("hard_limit_us", micros(number(class, "deadline_ms", &mut rng)));
            set("repeat_window_us", micros(number(class, "window_ms", &mut rng)));
            set("worth", number(class, "worth", &mut rng).to_string());
            set("late_value", number(class, "late_worth", &mut rng).to_string());
        }
    }

    fn tables(&self, name: &str) -> Vec<Table> {
        let tables = self.file.get(name).and_then(Value::as_array).into_iter().flatten();
        tables.filter_map(|table| table.as_table().cloned()).collect()
    }

    fn section(&self, section: &str) -> Option<&Table> {
        self.file.get(section).and_then(Value::as_table)
    }

    fn text(&self, section: &str, key: &str) -> Option<&str> {
        text(self.section(section)?, key)
    }

    fn flag(&self, section: &str, key: &str) -> bool {
        self.section(section).and_then(|table| table.get(key)).and_then(Value::as_bool).unwrap_or(false)
    }

    fn number(&self, section: &str, key: &str, rng: &mut fastrand::Rng) -> f64 {
        self.section(section).map_or(0.0, |table| number(table, key, rng))
    }

    fn micros(&self, section: &str, key: &str, rng: &mut fastrand::Rng) -> String {
        micros(self.number(section, key, rng))
    }

    fn positive_integer(&self, section: &str, key: &str, rng: &mut fastrand::Rng) -> String {
        (self.number(section, key, rng) as u64).max(1).to_string()
    }
}

fn text<'a>(table: &'a Table, key: &str) -> Option<&'a str> {
    table.get(key).and_then(Value::as_str)
}

/// Returns a number, or a random one from a range given as two numbers. Returns 0 if the key is missing.
fn number(table: &Table, key: &str, rng: &mut fastrand::Rng) -> f64 {
    let parse = |value: &Value| value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64));
    let range: Vec<f64> = match table.get(key) {
        Some(Value::Array(values)) => values.iter().filter_map(parse).collect(),
        Some(value) => parse(value).into_iter().collect(),
        None => Vec::new(),
    };
    match range[..] {
        [low, high] => low + (high - low) * rng.f64(),
        [value, ..] => value,
        [] => 0.0,
    }
}

/// Formats a time given in milliseconds as whole microseconds.
fn micros(milliseconds: f64) -> String {
    ((milliseconds * 1000.0) as u64).to_string()
}
