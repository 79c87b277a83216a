//! The platform's store: objects by kind and name, one revision counter, watches.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The answer to a list, with `@items` and `@revision` to fill in.
const LIST_ANSWER: &str = include_str!("list-answer.json");

/// The name of the parameter with the length of a watch.
const WAIT_PARAMETER: &str = include_str!("wait-parameter.txt");

#[derive(Default)]
struct Contents {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(u64, String, String)>,
    revision: u64,
}

struct Object {
    revision: u64,
    spec: String,
}

/// The store, shared with its serving threads.
#[derive(Clone)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    pub address: net::SocketAddrV4,
}

impl Store {
    /// Starts a store on a free port of an address.
    pub fn start(ip: net::Ipv4Addr) -> Store {
        let listener = net::TcpListener::bind((ip, 0)).expect("a port for the store");
        let port = listener.local_addr().expect("an address").port();
        let address = net::SocketAddrV4::new(ip, port);
        let store = Store { contents: Arc::default(), address };
        let served = store.clone();
        http::serve(listener, move |request| served.answer(request));
        store
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = self.contents.lock().expect("the store");
        write(&mut contents, kind, name, spec);
    }

    fn answer(&self, request: &http::Request) -> (u16, String) {
        let path = request.path.strip_prefix("/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.method.as_str(), name, request.parameter("watch")) {
            ("GET", "", Some(since)) => self.watch(kind, since, request),
            ("GET", "", None) => (200, list(&self.contents.lock().expect("the store"), kind)),
            ("GET", ..) => self.get(kind, name),
            ("POST", ..) => self.create(kind, &request.body),
            ("PUT", ..) => self.replace(kind, name, &request.body),
            ("DELETE", ..) => self.delete(kind, name, request.parameter("revision")),
            _ => (405, String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let contents = self.contents.lock().expect("the store");
        match contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, show(name, object)),
            None => (404, String::new()),
        }
    }

    fn watch(&self, kind: &str, since: &str, request: &http::Request) -> (u16, String) {
        let since: u64 = since.parse().unwrap_or(0);
        let wait = request.parameter(WAIT_PARAMETER.trim()).and_then(|text| text.parse().ok());
        let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        loop {
            let contents = self.contents.lock().expect("the store");
            let new = contents.events.iter().filter(|(at, of, _)| *at > since && of == kind);
            let new: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            if !new.is_empty() || Instant::now() >= end {
                let items = new.join(",");
                let answer = LIST_ANSWER.replace("items\"", "events\"");
                let answer = answer.replace("@revision", &contents.revision.to_string());
                return (200, answer.replace("@items", &items));
            }
            drop(contents);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let mut contents = self.contents.lock().expect("the store");
        let name = text_field(body, "name").unwrap_or_default();
        match contents.objects.get(&(kind.to_owned(), name.clone())) {
            Some(object) => (409, show(&name, object)),
            None => (200, write(&mut contents, kind, &name, object_field(body, "spec"))),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let mut contents = self.contents.lock().expect("the store");
        let expected = number_field(body, "revision");
        match contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            None => (404, String::new()),
            Some(object) if expected.is_some_and(|expected| expected != object.revision) => {
                (409, show(name, object))
            }
            Some(_) => (200, write(&mut contents, kind, name, object_field(body, "spec"))),
        }
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<&str>) -> (u16, String) {
        let mut contents = self.contents.lock().expect("the store");
        let key = (kind.to_owned(), name.to_owned());
        let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
        match contents.objects.get(&key) {
            None => (404, String::new()),
            Some(object) if expected.is_some_and(|expected| expected != object.revision) => {
                (409, show(name, object))
            }
            Some(object) => {
                let shown = show(name, object);
                contents.objects.remove(&key);
                record(&mut contents, kind, &shown, true);
                (200, shown)
            }
        }
    }
}

fn write(contents: &mut Contents, kind: &str, name: &str, spec: &str) -> String {
    let object = Object { revision: contents.revision + 1, spec: spec.to_owned() };
    let shown = show(name, &object);
    contents.objects.insert((kind.to_owned(), name.to_owned()), object);
    record(contents, kind, &shown, false);
    shown
}

fn record(contents: &mut Contents, kind: &str, shown: &str, deleted: bool) {
    contents.revision += 1;
    let event = format!("{{\"object\":{shown},\"deleted\":{deleted}}}");
    contents.events.push((contents.revision, kind.to_owned(), event));
}

fn list(contents: &Contents, kind: &str) -> String {
    let of_kind = contents.objects.iter().filter(|((of, _), _)| of == kind);
    let items: Vec<String> = of_kind.map(|((_, name), object)| show(name, object)).collect();
    let answer = LIST_ANSWER.replace("@revision", &contents.revision.to_string());
    answer.replace("@items", &items.join(","))
}

fn show(name: &str, object: &Object) -> String {
    let Object { revision, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Returns what follows a field's name and colon.
fn after_field<'a>(body: &'a str, field: &str) -> Option<&'a str> {
    let mark = format!("\"{field}\":");
    Some(body[body.find(&mark)? + mark.len()..].trim_start())
}

fn text_field(body: &str, field: &str) -> Option<String> {
    let rest = after_field(body, field)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_field(body: &str, field: &str) -> Option<u64> {
    let rest = after_field(body, field)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Returns a field that holds an object, as text.
fn object_field<'a>(body: &'a str, field: &str) -> &'a str {
    let Some(rest) = after_field(body, field) else { return "null" };
    let mut depth = 0;
    for (at, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => continue,
        }
        if depth == 0 {
            return &rest[..=at];
        }
    }
    "null"
}
