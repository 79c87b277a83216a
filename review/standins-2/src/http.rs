//! HTTP/1.1 with `Content-Length` bodies: what the stand-ins need of it.

use std::io;
use std::io::Write as _;
use std::net;
use std::time::Duration;

/// A request that a stand-in has received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl io::BufRead) -> io::Result<Option<Request>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut words = first.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let length = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Request { method, path, query, body }))
}

/// Reads headers up to the empty line; returns the length of the body.
fn read_headers(reader: &mut impl io::BufRead) -> io::Result<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(length);
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
}

/// Writes an answer with a JSON body.
pub fn write_answer(writer: &mut impl io::Write, status: u16, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    writer.write_all(format!("{head}{body}").as_bytes())
}

/// Returns the bytes of a call with a JSON body.
pub fn call_bytes(method: &str, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n"
    );
    format!("{head}{body}").into_bytes()
}

/// Makes a call on a connection of its own; `None` without an answer in time.
pub fn call(
    address: net::SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = net::TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(&call_bytes(method, path, body)).ok()?;
    read_answer(&mut io::BufReader::new(stream))
}

/// Reads an answer; `None` if there is none.
pub fn read_answer(reader: &mut impl io::BufRead) -> Option<(u16, String)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let mut body = vec![0; read_headers(reader).ok()?];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Calls `answer` for each request of each connection, each on a thread of its own.
pub fn serve(
    listener: net::TcpListener,
    answer: impl Fn(&Request) -> (u16, String) + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = io::BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let (status, body) = answer(&request);
                    if write_answer(&mut writer, status, &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
