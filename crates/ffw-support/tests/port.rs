//! Guards against a port that is chosen for two daemons which run at once, one of which then can't
//! listen. The other process that chooses is this test program itself.

use {
    ffw_support::port::Port,
    std::{
        collections::BTreeSet,
        env,
        io::{BufRead as _, BufReader, Write as _},
        process::{Command, Stdio},
        thread,
    },
};

/// Set in the process that is to choose ports, print them and hold them until its input ends.
const IS_OTHER_PROCESS: &str = "FIREFLYWORKS_TEST_CHOOSES_PORTS";

/// Ports that each thread and the other process choose.
const COUNT: usize = 200;

fn choose() -> Vec<Port> {
    (0..COUNT).map(|_| Port::choose().expect("a port")).collect()
}

#[test]
fn ports_that_are_held_at_once_are_different() {
    if env::var_os(IS_OTHER_PROCESS).is_some() {
        return hold_ports_for_the_other_process();
    }
    let mut other = Command::new(env::current_exe().expect("a program"))
        .args(["--nocapture", "ports_that_are_held_at_once_are_different"])
        .env(IS_OTHER_PROCESS, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let threads: Vec<_> = (0..4).map(|_| thread::spawn(choose)).collect();
    let ports: Vec<Port> =
        threads.into_iter().flat_map(|thread| thread.join().expect("ports")).collect();
    let of_threads = ports.iter().map(|port| port.address.port().to_string());
    let mut lines = BufReader::new(other.stdout.take().expect("an output")).lines();
    let of_other: Vec<String> = lines
        .by_ref()
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("port ").map(str::to_owned))
        .take(COUNT)
        .collect();
    assert_eq!(of_other.len(), COUNT);
    let all: BTreeSet<String> = of_threads.chain(of_other).collect();
    assert_eq!(all.len(), 5 * COUNT, "different ports");
    drop(other.stdin.take());
    lines.for_each(drop);
    assert!(other.wait().expect("an end").success());
}

fn hold_ports_for_the_other_process() {
    let ports = choose();
    let mut output = std::io::stdout().lock();
    for port in &ports {
        writeln!(output, "\nport {}", port.address.port()).expect("an output");
    }
    drop(output);
    std::io::stdin().lock().read_line(&mut String::new()).expect("an input");
}
