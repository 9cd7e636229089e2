//! Header fields of heads with very many lines.

use {
    ffw_http::message::{Request, Response},
    rstest::rstest,
};

/// Guards against a limit on the number of lines, and against fields that are lost or change their
/// order beyond the usual number.
#[rstest]
fn a_head_keeps_all_its_fields(#[values(0, 1, 127, 128, 129, 4_000)] count: usize) {
    let lines: String = (0..count).map(|number| format!("N{number}: v{number}\r\n")).collect();
    let request = format!("GET / HTTP/1.1\r\n{lines}\r\n");
    let (head, length) =
        Request::parse(request.as_bytes()).expect("well formed").expect("complete");
    assert_eq!((length, head.fields.iter().count()), (request.len(), count));
    assert_eq!(String::from_utf8(head.to_bytes()).expect("text"), request);
    let response = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
    let (head, _) = Response::parse(response.as_bytes()).expect("well formed").expect("complete");
    assert_eq!(String::from_utf8(head.to_bytes()).expect("text"), response);
}

/// Guards against a head of short lines that takes many times its bytes of memory.
#[test]
fn a_head_of_short_lines_takes_at_most_three_times_its_bytes() {
    let request = format!("GET / HTTP/1.1\r\n{}\r\n", "a:\r\n".repeat(4_000));
    let (head, length) =
        Request::parse(request.as_bytes()).expect("well formed").expect("complete");
    assert!(head.held_bytes() <= 3 * length, "{} bytes for {length}", head.held_bytes());
}

/// Guards against fields of one name that are taken for those of another after some were removed or
/// replaced, and against hop-by-hop fields that are passed on.
#[test]
fn fields_stay_in_order_when_others_are_removed() {
    let mut head = Request::new("GET", "/");
    let fields =
        [("A", "1"), ("Connection", "x, Y"), ("b", "2"), ("X", "3"), ("y", "4"), ("B", "")];
    fields.iter().for_each(|(name, value)| head.fields.add(name, value));
    head.fields.remove_hop_by_hop();
    assert_eq!(head.to_bytes(), b"GET / HTTP/1.1\r\nA: 1\r\nb: 2\r\nB: \r\n\r\n");
    head.fields.set("B", "5");
    head.fields.remove("c");
    assert_eq!(head.to_bytes(), b"GET / HTTP/1.1\r\nA: 1\r\nB: 5\r\n\r\n");
    assert_eq!((head.fields.text("a"), head.fields.text("b")), (Some("1"), Some("5")));
}
