//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connection with the bytes read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Second copy of a response, which is sent late: before the next response.
    pub late_copy: Option<String>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), late_copy: None }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16384];
        let read = self.stream.read(&mut chunk)?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    /// Reads bytes up to and including `end`.
    fn until(&mut self, end: &[u8]) -> Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|part| part == end) {
                return Ok(self.buffer.drain(..at + end.len()).collect());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Result<Message> {
        let head = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string()));
        Ok(Message { start, headers: headers.collect(), body: Vec::new() })
    }

    /// Reads the next piece of a body in chunks; `None` at its end.
    pub fn read_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let line = self.until(b"\r\n")?;
        let size = String::from_utf8_lossy(&line).trim().to_string();
        let size = usize::from_str_radix(&size, 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
        let chunk = self.exactly(size)?;
        self.until(b"\r\n")?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a message whose body has a length or chunks.
    pub fn read(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok());
            message.body = self.exactly(length.unwrap_or(0))?;
        }
        Ok(message)
    }

    pub fn send(&mut self, text: &str) -> Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn send_chunk(&mut self, text: &str) -> Result<()> {
        self.send(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Writes a response with a body.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> Result<()> {
        self.send(&response(status, headers, body))
    }
}

/// Returns the text of a response.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.send(request)?;
    connection.read()
}

/// Serves connections at an address with a thread each; `handle` returns an error to
/// close a connection.
pub fn serve(
    listener: TcpListener,
    handle: Arc<dyn Fn(&mut Connection, &Message) -> Result<()> + Send + Sync>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(message) = connection.read() {
                    if handle(&mut connection, &message).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns the text behind `"name":"` in a JSON document.
pub fn json_text<'a>(document: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":\"");
    let start = document.find(&key)? + key.len();
    let length = document[start..].find('"')?;
    Some(&document[start..start + length])
}
