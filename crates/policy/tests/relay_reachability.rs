//! Who reaches upstreams, as nodes tell each other.
//!
//! Guards against nodes that ask peers that are cut off too, against an idle node that knows nothing
//! of its links, and against absurd words.

use std::time::{Duration, Instant};

use base::id;
use policy::relay::{
    node_selection::Candidate,
    reachability::{
        ANSWER_TIME, Ages, CHECK_DELAY, Contact, FRESH, Kind, Links, Message, ROUND_INTERVAL,
        Reachability,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn node(n: u16) -> id::Node {
    id::Node(([10, 0, 0, 1], n).into())
}

fn candidate(n: u16, capacity: u32) -> Candidate {
    let domain = "a".parse().expect("a name");
    Candidate { node: node(n), address: ([10, 0, 0, 2], n).into(), domain, capacity }
}

fn replied(at: Instant) -> Contact {
    Contact { replied: Some(at), accepted: None }
}

struct Case {
    now: Instant,
    state: Reachability,
    rng: ChaCha8Rng,
}

impl Case {
    fn new() -> Case {
        let now = Instant::now();
        Case { now, state: Reachability::new(now, node(0)), rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn hear(&mut self, from: u16, own: Option<Contact>, others: &[(u16, Contact)]) {
        let now = self.now;
        let others = others.iter().map(|(n, c)| (node(*n), Ages::new(now, *c))).collect();
        let own = own.map(|c| Ages::new(now, c));
        self.state.receive(now, &Message { from: node(from), kind: Kind::Answer, own, others });
    }

    fn ask(&mut self, from: u16, within: Duration) {
        let kind = Kind::Question { within_ms: within.as_millis() as u16 };
        self.state
            .receive(self.now, &Message { from: node(from), kind, own: None, others: vec![] });
    }

    fn due_answers(&mut self, links: Links, contact: Contact) -> Vec<(id::Node, bool)> {
        self.state.due_answers(self.now, links, contact)
    }

    fn due_questions(&mut self, links: Links, strong: &[u16], all: &[u16]) -> Vec<id::Node> {
        let of = |numbers: &[u16]| numbers.iter().map(|n| node(*n)).collect::<Vec<_>>();
        let (strong, all) = (of(strong), of(all));
        self.state.due_questions(self.now, links, &strong, &all, &mut self.rng).0
    }

    fn servers(&self, links: Links, candidates: &[Candidate]) -> Vec<id::Node> {
        self.state.servers(self.now, links, candidates).iter().map(|s| s.node).collect()
    }

    fn nameable(&self, links: Links, candidates: &[Candidate]) -> Vec<id::Node> {
        let named = self.state.nameable(self.now, links, candidates.to_vec());
        named.iter().map(|c| c.node).collect()
    }
}

#[test]
fn a_question_waits_for_a_contact_and_makes_an_idle_node_check_its_links() {
    let mut case = Case::new();
    let old = replied(case.now);
    case.now += ms(300);
    case.ask(1, ms(100));
    assert_eq!(case.due_answers(Links::Connected, old), []);
    assert!(!case.state.needs_check(case.now), "its own requests may show it");
    case.now += CHECK_DELAY;
    assert!(case.state.needs_check(case.now));
    let accepted = Contact { accepted: Some(case.now), ..old };
    assert_eq!(case.due_answers(Links::Connected, accepted), [(node(1), true)]);
    assert!(!case.state.needs_check(case.now));
    // Without a contact, and at a node that may be cut off itself.
    case.now += ms(500);
    case.ask(1, ms(100));
    case.now += ANSWER_TIME;
    assert_eq!(case.due_answers(Links::Connected, old), [(node(1), false)]);
    for links in [Links::Suspected(case.now), Links::Cut] {
        case.ask(2, FRESH);
        let contact = replied(case.now);
        assert_eq!(case.due_answers(links, contact), [(node(2), false)]);
    }
}

#[test]
fn nothing_is_asked_while_nobody_suspects_anything() {
    let mut case = Case::new();
    for _ in 0..100 {
        case.now += ROUND_INTERVAL;
        assert_eq!(case.due_questions(Links::Connected, &[1, 2], &[1, 2, 3, 4]), []);
    }
    case.ask(1, ms(100));
    assert!(!case.due_questions(Links::Connected, &[1, 2], &[1, 2, 3, 4]).is_empty());
}

/// Guards against connected nodes that keep each other asking, and checking their links, for ever.
#[test]
fn questions_of_connected_nodes_make_no_other_node_ask() {
    let mut case = Case::new();
    let kind = Kind::Question { within_ms: 500 };
    let own = Some(Ages::new(case.now, replied(case.now)));
    let question = Message { from: node(1), kind, own, others: vec![] };
    case.state.receive(case.now, &question);
    assert_eq!(case.due_questions(Links::Connected, &[1, 2], &[1, 2, 3, 4]), []);
    // It is told what is known without a check.
    assert_eq!(case.due_answers(Links::Connected, Contact::default()), [(node(1), true)]);
    case.now += CHECK_DELAY;
    assert!(!case.state.needs_check(case.now));
}

#[test]
fn what_is_known_of_others_is_forgotten_in_time() {
    let mut case = Case::new();
    (1..=2).for_each(|n| case.hear(n, Some(replied(case.now)), &[]));
    assert_ne!(case.state.witnessed(), Contact::default());
    case.now += ms(10_000);
    case.state.expire(case.now);
    assert_eq!(case.state.witnessed(), Contact::default());
}

/// Guards against nodes that ask only the strong ones, all of which may be cut off.
#[test]
fn strong_and_weak_peers_are_asked() {
    let mut case = Case::new();
    let all: Vec<u16> = (1..=100).collect();
    let asked = case.due_questions(Links::Suspected(case.now), &[1, 2, 3, 4, 5, 6], &all);
    let strong = asked.iter().filter(|n| n.0.port() <= 6).count();
    assert!(asked.len() == 8 && (4..8).contains(&strong), "{asked:?}");
    assert_eq!(case.due_questions(Links::Suspected(case.now), &[], &all), [], "not at once again");
}

#[test]
fn requests_go_to_nodes_with_contact_since_the_suspicion() {
    let mut case = Case::new();
    let weak: Vec<Candidate> = (1..=4).map(|n| candidate(n, 84)).collect();
    case.hear(1, Some(replied(case.now)), &[(2, replied(case.now))]);
    case.now += ms(10);
    let suspected = Links::Suspected(case.now);
    assert!(case.servers(suspected, &weak).is_empty(), "contacts from before");
    case.hear(1, Some(replied(case.now)), &[(2, replied(case.now)), (3, replied(case.now))]);
    assert_eq!(case.servers(suspected, &weak), [node(1), node(2), node(3)]);
    case.hear(2, None, &[]);
    case.state.record_failure(case.now, node(3));
    assert_eq!(case.servers(suspected, &weak), [node(1)]);
    case.now += ms(10);
    case.state.record_success(case.now, node(3));
    assert_eq!(case.servers(Links::Cut, &weak), [node(1), node(3)]);
    case.now += FRESH + ms(1);
    assert!(case.servers(Links::Cut, &weak).is_empty());
}

#[test]
fn strong_nodes_that_do_not_reach_upstreams_are_neither_asked_nor_named() {
    let mut case = Case::new();
    let mut fleet: Vec<Candidate> = (1..=2).map(|n| candidate(n, 500)).collect();
    fleet.extend((3..=12).map(|n| candidate(n, 84)));
    assert_eq!(case.nameable(Links::Connected, &fleet).len(), 12, "nothing is known");
    (1..=2).for_each(|n| case.hear(n, None, &[]));
    (3..=5).for_each(|n| case.hear(n, Some(replied(case.now)), &[]));
    assert_eq!(case.servers(Links::Cut, &fleet), [node(3), node(4), node(5)]);
    assert_eq!(case.nameable(Links::Connected, &fleet).len(), 10);
    // Most nodes are cut off: one of which nothing is known probably is.
    (6..=9).for_each(|n| case.hear(n, None, &[]));
    assert_eq!(case.nameable(Links::Connected, &fleet), [node(3), node(4), node(5)]);
    // Nobody reaches upstreams.
    (3..=12).for_each(|n| case.hear(n, None, &[]));
    assert_eq!(case.nameable(Links::Cut, &fleet).len(), 12);
}

#[test]
fn one_absurd_word_is_no_evidence() {
    let mut case = Case::new();
    let now = case.now;
    let future = Contact { replied: Some(now + ms(60_000)), accepted: Some(now + ms(60_000)) };
    case.hear(1, Some(future), &[(2, future), (3, future), (0, future)]);
    assert_eq!(case.state.witnessed(), Contact::default());
    case.hear(2, Some(replied(now)), &[]);
    assert_eq!(case.state.witnessed(), replied(now));
}

#[test]
fn an_outage_is_what_many_deny_and_none_contradicts() {
    let mut case = Case::new();
    let since = case.now;
    let check = |case: &Case, living, expected| {
        assert_eq!(case.state.is_outage(since, living), expected, "{living} live");
    };
    (1..=3).for_each(|n| case.hear(n, None, &[]));
    check(&case, 3, true);
    check(&case, 100, false);
    (4..=16).for_each(|n| case.hear(n, None, &[]));
    check(&case, 100, true);
    case.now += ms(1);
    case.hear(17, Some(Contact::default()), &[(18, replied(case.now))]);
    check(&case, 100, false);
}

/// One connected node among many, which are asked at random, is known to all within a few rounds.
#[test]
fn a_single_connected_node_of_a_hundred_is_found() {
    const NODES: u16 = 100;
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut fleet: Vec<Reachability> =
        (0..NODES).map(|n| Reachability::new(start, node(n))).collect();
    let candidates: Vec<Candidate> = (0..NODES).map(|n| candidate(n, 84)).collect();
    let links = |n: usize| if n == 0 { Links::Connected } else { Links::Suspected(start) };
    for round in 0..8u32 {
        let now = start + (ROUND_INTERVAL + ms(60)) * (round + 1);
        for n in 1..usize::from(NODES) {
            let all: Vec<id::Node> =
                (0..NODES).filter(|p| usize::from(*p) != n).map(node).collect();
            let (to, within) = fleet[n].due_questions(now, links(n), &[], &all, &mut rng);
            let kind = Kind::Question { within_ms: within.as_millis() as u16 };
            let question = fleet[n].message(now, kind, None, &mut rng);
            for peer in to.iter().map(|p| usize::from(p.0.port())) {
                fleet[peer].receive(now, &question);
                for (to, reaches) in fleet[peer].due_answers(now, links(peer), replied(now)) {
                    let own = reaches.then(|| replied(now));
                    let answer = fleet[peer].message(now, Kind::Answer, own, &mut rng);
                    fleet[usize::from(to.0.port())].receive(now, &answer);
                }
            }
        }
    }
    let end = start + (ROUND_INTERVAL + ms(60)) * 8;
    let ignorant = (1..usize::from(NODES))
        .filter(|n| fleet[*n].servers(end, links(*n), &candidates).is_empty())
        .count();
    println!("{ignorant} of {} know no node that reaches upstreams", NODES - 1);
    assert_eq!(ignorant, 0);
}
