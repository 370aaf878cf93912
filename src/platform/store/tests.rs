//! Answers of the store that break off.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::platform::record::Keyed;
use crate::platform::store::Append;
use crate::platform::store::Store;

/// Starts a store that sends these bytes to each caller and closes the connection.
async fn start(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(&bytes).await;
        }
    });
    address
}

/// Returns an answer with this body, with its length or ended by its connection.
fn answer(body: &[u8], has_length: bool) -> Vec<u8> {
    let length = match has_length {
        true => format!("content-length: {}\r\n", body.len()),
        false => String::new(),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{length}\r\n");
    [head.as_bytes(), body].concat()
}

/// Guards against a topic that counts as read although the store's answer broke off.
#[tokio::test]
async fn newest_records_that_break_off_are_not_read() {
    let body = br#"{"items":[{"key":"a","value":"MQ==","offset":3}],"hasMore":false,"end":7}"#;
    for has_length in [true, false] {
        let whole = answer(body, has_length);
        for length in 0..whole.len() {
            let store = Store::new(start(whole[..length].to_vec()).await);
            assert!(store.newest("topic").await.is_err(), "{length} bytes");
        }
        let table = Store::new(start(whole).await).newest("topic").await;
        assert_eq!(table.expect("it is whole").end, 7);
    }
}

/// Guards against records that are skipped because the page with them broke off.
#[tokio::test]
async fn a_page_that_breaks_off_has_none_but_whole_records() {
    let mut body = [2_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    let mut ends = vec![body.len()];
    for key in ["a", "b"] {
        let key = key.to_owned();
        let value = Some(b"value".to_vec());
        Keyed { key, value }.encode(&mut body);
        ends.push(body.len());
    }
    for has_length in [true, false] {
        let whole = answer(&body, has_length);
        let head = whole.len() - body.len();
        for length in 0..whole.len() {
            let store = Store::new(start(whole[..length].to_vec()).await);
            let page = store.read("topic", 0, Duration::ZERO, None).await;
            let records = ends.iter().position(|end| head + end == length);
            let expected = records.filter(|_| !has_length);
            let read = page.ok().map(|page| page.records.len());
            assert_eq!(read, expected, "{length} bytes");
        }
    }
}

/// Guards against a write that counts as done although the store's answer broke off.
#[tokio::test]
async fn an_append_whose_answer_breaks_off_is_lost() {
    let whole = answer(br#"{"offset":3,"end":4}"#, true);
    for length in 0..whole.len() {
        let store = Store::new(start(whole[..length].to_vec()).await);
        let append = store.append("topic", &[], None).await;
        assert_eq!(append, Append::Lost, "{length} bytes");
    }
}
