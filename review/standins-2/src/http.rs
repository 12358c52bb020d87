//! A small HTTP/1.1 server and client, enough for the stand-ins.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request as a server has read it.
pub struct Request {
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A response: status, headers, body.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or_default(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let len = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Serves requests on `listener`, each connection in a thread of its own, until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    serve_unless(listener, |_| false, handle);
}

/// Does the same, but closes a connection, when it is opened or a request has arrived on it, if `is_cut`
/// returns true for the client's port, and sends no answer from then on.
pub fn serve_unless<C, F>(listener: TcpListener, is_cut: C, handle: F)
where
    C: Fn(u16) -> bool + Send + Sync + 'static,
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let (handle, is_cut) = (Arc::new(handle), Arc::new(is_cut));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handle, is_cut) = (handle.clone(), is_cut.clone());
            thread::spawn(move || serve_connection(stream, &*is_cut, &*handle).ok());
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    is_cut: &dyn Fn(u16) -> bool,
    handle: &dyn Fn(Request) -> Response,
) -> io::Result<()> {
    let port = stream.peer_addr()?.port();
    if is_cut(port) {
        return Ok(());
    }
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first, headers) = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        if is_cut(port) {
            return Ok(());
        }
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default();
        let request = Request {
            target: target.to_owned(),
            headers,
            body,
        };
        let response = handle(request);
        if is_cut(port) {
            return Ok(());
        }
        let mut head = format!(
            "HTTP/1.1 {} x\r\ncontent-length: {}\r\n",
            response.status,
            response.body.len()
        );
        for (name, value) in &response.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        stream.write_all(&bytes)?;
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

/// What a client saw of an answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    /// Bytes of the body that arrived.
    pub received: usize,
    /// Length that the answer stated, if any.
    pub stated: Option<usize>,
    /// Why the body ended before its end, if it did.
    pub broken: Option<String>,
}

impl Answer {
    pub fn describe(&self) -> String {
        let stated = self
            .stated
            .map_or_else(|| "an unstated number".to_owned(), |n| n.to_string());
        let end = self.broken.as_deref().unwrap_or("complete");
        format!(
            "{}, {} of {stated} bytes of the body: {end}",
            self.status, self.received
        )
    }
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        Self::from_stream(TcpStream::connect(addr)?)
    }

    pub fn from_stream(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::with_capacity(4096, stream.try_clone()?),
            stream,
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    /// Reads an answer; calls `pace` after each piece of the body with the number of bytes so far.
    pub fn read(&mut self, mut pace: impl FnMut(usize)) -> io::Result<Answer> {
        let (first, headers) = read_headers(&mut self.reader)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let stated: Option<usize> = headers.get("content-length").and_then(|v| v.parse().ok());
        let mut answer = Answer {
            status,
            headers,
            received: 0,
            stated,
            broken: None,
        };
        let Some(len) = stated else {
            match read_body(&mut self.reader, &answer.headers) {
                Ok(body) => answer.received = body.len(),
                Err(e) => answer.broken = Some(e.to_string()),
            }
            return Ok(answer);
        };
        let mut buffer = [0; 4096];
        while answer.received < len {
            let want = buffer.len().min(len - answer.received);
            match self.reader.read(&mut buffer[..want]) {
                Ok(0) => {
                    answer.broken = Some("the connection was closed".to_owned());
                    break;
                }
                Ok(n) => answer.received += n,
                Err(e) => {
                    answer.broken = Some(e.to_string());
                    break;
                }
            }
            pace(answer.received);
        }
        Ok(answer)
    }
}
