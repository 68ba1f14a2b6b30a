//! A small HTTP/1.1 server and client on plain threads.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request that was read completely.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// A status and a body; `None` from a handler means that the request gets no answer.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(
        status: u16,
        body: String,
    ) -> Option<Self> {
        Some(Self {
            status,
            body: body.into_bytes(),
        })
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A listening server, which closes its listener and all connections when it is closed.
pub struct Server {
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn bind(
        address: SocketAddr,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (closed, open) = (is_closed.clone(), streams.clone());
        thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        drop(stream.set_nonblocking(false));
                        drop(stream.set_nodelay(true));
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let (handler, closed) = (handler.clone(), closed.clone());
                        thread::spawn(move || drop(serve(stream, &handler, &closed)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { is_closed, streams })
    }

    /// Ends the server as a crash does: nothing listens any more and all connections break.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }
}

fn serve(
    stream: TcpStream,
    handler: &Handler,
    closed: &AtomicBool,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader)? {
        let response = handler(req);
        if closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Some(response) = response else {
            // The answer is lost: the connection stays silent until the caller closes it.
            let mut rest = Vec::new();
            drop(reader.read_to_end(&mut rest));
            return Ok(());
        };
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend(response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body<R: BufRead>(
    reader: &mut R,
    headers: &BTreeMap<String, String>,
) -> io::Result<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v == "chunked")
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = headers.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), v.replace("%2F", "/").replace("%25", "%")));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

/// Makes one call over a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = read_body(&mut reader, &headers)?;
    Ok((status.unwrap_or(0), body))
}

/// Returns the text of a field of a flat JSON object, without quotes.
pub fn json_field(
    body: &[u8],
    name: &str,
) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let key = format!("\"{name}\":");
    let rest = text[text.find(&key)? + key.len()..].trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return Some(quoted[..quoted.find('"')?].to_owned());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

pub fn json_number(
    body: &[u8],
    name: &str,
) -> Option<u64> {
    json_field(body, name)?.parse().ok()
}
