//! A body that is written while it is read: whole only if its writer says so.

use {ffw_http::feed, futures_lite::AsyncReadExt as _};

#[test]
fn a_finished_body_is_whole() {
    smol::block_on(async {
        let (writer, mut feed) = feed::open();
        writer.write(b"one ".to_vec()).await.expect("a reader");
        writer.write(b"two".to_vec()).await.expect("a reader");
        writer.finish().await.expect("a reader");
        drop(writer);
        let mut text = String::new();
        feed.read_to_string(&mut text).await.expect("a whole body");
        assert_eq!(text, "one two");
    });
}

#[test]
fn a_body_whose_writer_is_gone_is_cut() {
    smol::block_on(async {
        let (writer, mut feed) = feed::open();
        writer.write(b"one ".to_vec()).await.expect("a reader");
        drop(writer);
        let mut text = String::new();
        let read = feed.read_to_string(&mut text).await;
        assert!(read.is_err(), "a cut body was taken for whole: {text}");
    });
}

#[test]
fn a_writer_learns_that_its_reader_is_gone() {
    smol::block_on(async {
        let (writer, feed) = feed::open();
        drop(feed);
        assert_eq!(writer.write(b"one".to_vec()).await, Err(feed::Closed));
    });
}
