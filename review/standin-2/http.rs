//! Heads and bodies of HTTP/1.1 messages.

use std::io;
use std::io::BufRead;

/// The first line of a message, and its headers.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whatever the case of its name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` where the connection ended before one.
pub fn read_head<R: BufRead>(from: &mut R) -> io::Result<Option<Head>> {
    let Some(first) = read_line(from)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(Head {
                line: first,
                headers,
            }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_line<R: BufRead>(from: &mut R) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the body that a head announces.
pub fn read_body<R: BufRead>(from: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    if let Some(length) = head
        .get("content-length")
        .and_then(|text| text.parse().ok())
    {
        let mut body = vec![0; length];
        from.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(from)? {
            body.extend(chunk);
        }
    }
    Ok(body)
}

/// Reads one chunk; `None` after the last one.
pub fn read_chunk<R: BufRead>(from: &mut R) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    from.read_exact(&mut chunk)?;
    read_line(from)?;
    Ok((size > 0).then_some(chunk))
}
