//! Generation from questionnaires: the examples, errors in invalid questionnaires, and the
//! outputs of diff and explain.

use config::{deployment::Deployment, diff, explain, questionnaire};

const COOPERATIVE: &str = include_str!("../../../examples/deployments/cooperative.ini");
const BELTRAN: &str = include_str!("../../../examples/deployments/beltran.ini");

fn generate(text: &str) -> Deployment {
    questionnaire::generate("q.ini", text).expect("valid questionnaire")
}

#[test]
fn examples_have_the_expected_service_sizes() {
    let check = |text: &str, expected: &[(&str, usize, usize, u32, u32, u64)]| {
        let deployment = generate(text);
        let sizes: Vec<_> = deployment
            .services
            .iter()
            .map(|s| {
                let servers = s.groups.iter().map(|g| g.servers.len()).sum();
                let name = s.name.as_str();
                (name, s.groups.len(), servers, s.slots, s.connections, s.connection_setup_ms)
            })
            .collect();
        assert_eq!(sizes, expected);
    };
    check(
        COOPERATIVE,
        &[
            ("formula-costing", 10, 30, 3, 65, 6),
            ("supplier-quotes", 15, 45, 3, 65, 6),
            ("label-desk", 1, 7, 6, 200, 1),
            ("county-portal", 1, 3, 6, 200, 1),
        ],
    );
    check(
        BELTRAN,
        &[
            ("batch-closure", 10, 30, 3, 70, 6),
            ("lease-maps", 15, 45, 3, 70, 6),
            ("permit-records", 1, 20, 3, 90, 1),
            ("harvest-tally", 1, 9, 3, 90, 1),
        ],
    );
}

#[test]
fn equal_questionnaires_generate_equal_bytes() {
    for text in [COOPERATIVE, BELTRAN] {
        let bytes = generate(text).to_bytes();
        assert_eq!(bytes, generate(text).to_bytes());
        assert_eq!(Deployment::parse(&bytes), Ok(generate(text)));
    }
}

#[test]
fn invalid_questionnaire_reports_line_field_and_allowed_values() {
    // Replaces `old` in the example with `new`, and expects an error for `field` that shows `input`
    // and whose accepted values contain `allowed`.
    let check = |old: &str, new: &str, field: &str, input: &str, allowed: &str| {
        assert!(BELTRAN.contains(old), "{old:?} is not in the example");
        let text = BELTRAN.replacen(old, new, 1);
        let errors = questionnaire::generate("q.ini", &text).expect_err(new).0;
        let error = errors.iter().find(|e| e.field == field && e.input == input);
        let error = error.unwrap_or_else(|| panic!("{new:?}: {errors:#?}"));
        assert!(error.allowed.contains(allowed), "{new:?}: allowed {:?}", error.allowed);
        assert_eq!(error.file, "q.ini");
        let line = text.lines().nth(error.line - 1).expect("error line exists in the file");
        let key = field.split(' ').next_back().unwrap_or("");
        let is_header = line.starts_with('[') || error.line == 1;
        assert!(is_header || line.contains(key) || line.contains(input), "{new:?}: line {line:?}");
    };
    let deployment = "[deployment]";
    check("name = beltran-northern-gulf", "name = Beltran", "[deployment] name", "Beltran", "a-z");
    check("name = beltran-northern-gulf", "name =", "[deployment] name", "(empty)", "a-z");
    check("name = beltran-northern-gulf", "", "[deployment] name", "", "a-z");
    check("name = beltran-northern-gulf", "nmae = x", "[deployment] nmae", "nmae", "one of name");
    check("generation = 1", "generation = 0", "[deployment] generation", "0", "1 to");
    check("generation = 1", "generation = one", "[deployment] generation", "one", "1 to");
    check("generation = 1", "generation = -1", "[deployment] generation", "-1", "1 to");
    check(
        "generation = 1",
        "generation = 1\ngeneration = 2",
        "[deployment] generation",
        "2",
        "once",
    );
    check(
        "weigh_most = coverage",
        "weigh_most = speed",
        "[deployment] weigh_most",
        "speed",
        "tail latency",
    );
    check(
        "guaymas, penasco, kino",
        "guaymas, guaymas",
        "[deployment] failure_domains",
        "guaymas, guaymas",
        "once",
    );
    check(
        "guaymas, penasco, kino",
        "guaymas,,kino",
        "[deployment] failure_domains",
        "guaymas,,kino",
        "commas",
    );
    check(deployment, "[deploymnet]", "[deployment]", "", "this section once");
    check(deployment, "[deploymnet]", "section", "deploymnet", "[service NAME]");
    check(
        deployment,
        "stray = 1\n[deployment]",
        "section",
        "fields before any section",
        "[deployment]",
    );
    check("groups = 10\n", "groups = 0\n", "[service batch-closure] groups", "0", "1 to");
    check("groups = 10\n", "groups = 10.5\n", "[service batch-closure] groups", "10.5", "1 to");
    check(
        "servers_per_group = 3",
        "servers_per_group = 9999",
        "[service batch-closure] servers_per_group",
        "9999",
        "1 to 1000",
    );
    check(
        "first_server = 127.0.0.1:21100",
        "first_server = localhost:21100",
        "[service batch-closure] first_server",
        "localhost:21100",
        "IP:port",
    );
    check(
        "first_server = 127.0.0.1:21100",
        "first_server = 127.0.0.1:0",
        "[service batch-closure] first_server",
        "127.0.0.1:0",
        "IP:port",
    );
    check(
        "first_server = 127.0.0.1:21100",
        "first_server = 127.0.0.1:65530",
        "[service batch-closure] connections first_server",
        "127.0.0.1:65530",
        "room for 30",
    );
    check(
        "next_server = next port",
        "next_server = port",
        "[service batch-closure] next_server",
        "port",
        "next host or next port",
    );
    check("slots = 3", "slots = 0", "[service batch-closure] slots", "0", "1 to");
    check("slots = 3", "slots = 3\nslots = 3", "[service batch-closure] slots", "3", "once");
    check(
        "connections = 70",
        "connections = 2",
        "[service batch-closure] connections",
        "2",
        "no fewer than slots",
    );
    check(
        "connection_setup = 6 ms",
        "connection_setup = 6",
        "[service batch-closure] connection_setup",
        "6",
        "0 ms to 10 s",
    );
    check(
        "connection_setup = 6 ms",
        "connection_setup = 11 s",
        "[service batch-closure] connection_setup",
        "11 s",
        "10 s",
    );
    check(
        "versioned = no",
        "versioned = false",
        "[service permit-records] versioned",
        "false",
        "yes or no",
    );
    check(
        "[service lease-maps]",
        "[service batch-closure]",
        "[service batch-closure]",
        "service batch-closure",
        "once",
    );
    check("[service lease-maps]", "[service]", "[service]", "", "a-z");
    check(
        "[service lease-maps]",
        "[service lease maps]",
        "[service lease maps]",
        "service lease maps",
        "a-z",
    );
    check(
        "goes_first = yes",
        "goes_first = first",
        "[class closure] goes_first",
        "first",
        "yes or no",
    );
    check("deadline = 250 ms", "deadline = 0 ms", "[class closure] deadline", "0 ms", "30 s");
    check("deadline = 250 ms", "deadline = 2 h", "[class closure] deadline", "2 h", "30 s");
    check("deadline = 250 ms", "", "[class closure] deadline", "", "30 s");
    check(
        "partial from 95%",
        "partial from 101%",
        "[class boundary] coverage",
        "partial from 101%",
        "best at deadline",
    );
    check("coverage = complete", "coverage = all", "[class closure] coverage", "all", "complete");
    check(
        "services = lease-maps",
        "services = leese-maps",
        "[class boundary] services",
        "leese-maps",
        "complete section",
    );
    check(
        "at_most_once = yes",
        "at_most_once = 1",
        "[class sell-lot] at_most_once",
        "1",
        "yes or no",
    );
    check(
        "classes = closure\n",
        "classes = closures\n",
        "[callers inspectors] classes",
        "closures",
        "complete section",
    );
    check(
        "classes = closure\n",
        "classes =\n",
        "[callers inspectors] classes",
        "(empty)",
        "commas",
    );
    check(
        "[callers inspectors]",
        "[caller inspectors]",
        "section",
        "caller inspectors",
        "[callers NAME]",
    );
}

#[test]
fn all_errors_are_reported_in_line_order() {
    let text = BELTRAN.replace("slots = 3", "slots = 0");
    let errors = questionnaire::generate("q.ini", &text).expect_err("invalid questionnaire").0;
    assert!(errors.len() >= 4);
    assert!(errors.is_sorted_by_key(|e| e.line));
}

#[test]
fn diff_describes_changes_for_operators() {
    let check = |old: &str, new: &str, expected: &str| {
        let changed = generate(&BELTRAN.replacen(old, new, 1));
        let lines = diff::describe(&generate(BELTRAN), &changed);
        assert!(lines.iter().any(|l| l == expected), "{expected:?} not in {lines:?}");
    };
    check("generation = 1", "generation = 2", "generation: 1 -> 2");
    check("deadline = 250 ms", "deadline = 200 ms", "class closure: deadline in ms: 250 -> 200");
    let leaving = "service batch-closure: server 127.0.0.1:21100 starts leaving";
    check("groups = 10\n", "groups = 10\nleaving = 127.0.0.1:21100\n", leaving);
    check(
        "deadline = 250 ms",
        "deadline = 200 ms",
        "warning: generation 1 is not above 1; nodes will ignore this value",
    );
    assert_eq!(diff::describe(&generate(BELTRAN), &generate(BELTRAN)), [""; 0]);
}

#[test]
fn explain_describes_a_class() {
    let lines = explain::describe(&generate(BELTRAN), &"closure".parse().expect("valid name"))
        .expect("class exists");
    assert!(lines[0].contains("goes first") && lines[1].contains("250 ms"));
    assert!(lines[2].contains("complete answer"));
}
