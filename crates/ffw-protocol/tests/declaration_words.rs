//! Words of declarations that have changed.

use ffw_protocol::declaration::Deployment;

#[test]
fn the_old_word_for_a_workspace_names_the_new_one() {
    let text = "deployment = \"d\"\n[[customer]]\nname = \"a\"\n";
    let problems = Deployment::parse(text).expect_err("the old word is refused");
    let text = problems[0].to_string();
    assert!(text.contains("customer") && text.contains("[[workspace]]"), "{text}");
}
