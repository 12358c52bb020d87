//! A small HTTP/1.1 server and client on threads, enough for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Path with query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.contains("chunked"))
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?))
    }

    /// Reads some bytes; 0 at the end of the stream.
    pub fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.ahead.is_empty() {
            return self.stream.read(buf);
        }
        let n = buf.len().min(self.ahead.len());
        buf[..n].copy_from_slice(&self.ahead[..n]);
        self.ahead.drain(..n);
        Ok(n)
    }

    /// Reads a head; `None` at the end of the stream.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut buf = [0; 4096];
        loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            let n = self.stream.read(&mut buf)?;
            if n == 0 {
                return Ok(None);
            }
            self.ahead.extend_from_slice(&buf[..n]);
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        let mut byte = [0];
        loop {
            if self.read(&mut byte)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            line.push(byte[0]);
            if line.ends_with(b"\r\n") {
                return Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned());
            }
        }
    }

    pub fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        let mut body = vec![0; len];
        let mut done = 0;
        while done < len {
            let n = self.read(&mut body[done..])?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            done += n;
        }
        Ok(body)
    }

    /// Reads one chunk of a chunked body; empty for the last one.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let len = usize::from_str_radix(&size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk size"))?;
        let bytes = self.read_exact(len)?;
        self.read_line()?;
        Ok(bytes)
    }

    /// Reads the whole body that belongs to `head`.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a whole response.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let reason = if status < 400 { "OK" } else { "Error" };
        let len = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {len}\r\n\r\n")
                .into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Serves each connection of a listener on a thread; `handle` reads the body, answers, and returns
/// whether the connection goes on.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Head, &mut Conn) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(head)) = conn.read_head() {
                    if !handle(&head, &mut conn).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
}
