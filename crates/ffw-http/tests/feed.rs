//! A body that is written while it is read is complete only if its writer has finished it.
//! Otherwise the response of a writer that fails midway would look complete.

use {ffw_http::body, futures_lite::AsyncReadExt as _};

#[test]
fn finished_body_is_complete() {
    smol::block_on(async {
        let (writer, mut feed) = body::channel();
        writer.write(b"one ".to_vec()).await.expect("a reader");
        writer.write(b"two".to_vec()).await.expect("a reader");
        writer.finish().await.expect("a reader");
        drop(writer);
        let mut text = String::new();
        feed.read_to_string(&mut text).await.expect("a complete body");
        assert_eq!(text, "one two");
    });
}

#[test]
fn body_of_dropped_writer_fails() {
    smol::block_on(async {
        let (writer, mut feed) = body::channel();
        writer.write(b"one ".to_vec()).await.expect("a reader");
        drop(writer);
        let mut text = String::new();
        let read = feed.read_to_string(&mut text).await;
        assert!(read.is_err(), "an incomplete body was taken for complete: {text}");
    });
}

#[test]
fn write_fails_after_reader_is_dropped() {
    smol::block_on(async {
        let (writer, feed) = body::channel();
        drop(feed);
        assert_eq!(writer.write(b"one".to_vec()).await, Err(body::Closed));
    });
}
