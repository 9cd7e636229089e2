//! Declarations with the former name of a table: the error must state the current name.

use ffw_protocol::declaration::Deployment;

#[test]
fn the_error_for_a_customer_table_names_the_workspace_table() {
    let text = "deployment = \"d\"\n[[customer]]\nname = \"a\"\n";
    let problems = Deployment::parse(text).expect_err("the old word is refused");
    let text = problems[0].to_string();
    assert!(text.contains("customer") && text.contains("[[workspace]]"), "{text}");
}
