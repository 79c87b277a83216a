//! Scenes of the review: real processes of the project among small stand-ins.
//!
//! `scene NAME RECORD` plays a scene and writes its record. It exits with 1 if the rule was broken,
//! with 0 if it held and with 2 if the scene couldn't run. With `TROUBLE=0` in the environment it
//! leaves the disruption out.

mod client;
mod host;
mod http;
mod leaving_balancer;
mod moved_route;
mod packet;
mod record;
mod removed_hosts;
mod router;
mod store;
mod system;
mod unheard_host;

use std::path;

/// What a scene found.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, file) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.add(format!("scene {name}, with the disruption: {is_troubled}"));
    let play = || match name.as_str() {
        "moved-route" => moved_route::play(is_troubled, &record),
        "removed-hosts" => removed_hosts::play(is_troubled, &record),
        "unheard-host" => unheard_host::play(is_troubled, &record),
        "leaving-balancer" => leaving_balancer::play(is_troubled, &record),
        _ => Verdict::CannotRun(format!("no scene {name}")),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = played.unwrap_or_else(|_| Verdict::CannotRun("the scene stopped".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::CannotRun(why) => (2, format!("the scene couldn't run: {why}")),
    };
    record.add(&text);
    record.save(path::Path::new(&file));
    println!("{text}");
    std::process::exit(code);
}
