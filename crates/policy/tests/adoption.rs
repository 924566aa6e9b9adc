//! Which configuration is in force.

mod common;

use base::{id, unit::Generation};
use config::{deployment::Deployment, questionnaire};
use policy::adoption::{ActiveConfig, OfferResult};

const QUESTIONNAIRE: &str = include_str!("../../../examples/deployments/beltran.ini");

fn published(generation: u64) -> Deployment {
    let mut deployment = questionnaire::generate("beltran.ini", QUESTIONNAIRE).expect("valid");
    deployment.generation = Generation(generation);
    deployment
}

fn holder() -> ActiveConfig {
    ActiveConfig::new(published(1).name)
}

#[test]
fn the_highest_valid_generation_wins_and_stays() {
    let mut holder = holder();
    let mut check = |bytes: &[u8], expected: fn(&OfferResult) -> bool, in_force: u64| {
        let verdict = holder.offer(bytes);
        assert!(expected(&verdict), "{verdict:?}");
        assert_eq!(holder.stamp().generation, Generation(in_force));
    };
    check(b"garbage", |v| matches!(v, OfferResult::Refused(_)), 0);
    check(&published(3).to_bytes(), |v| *v == OfferResult::Adopted, 3);
    check(&published(3).to_bytes(), |v| *v == OfferResult::Same, 3);
    check(&published(2).to_bytes(), |v| *v == OfferResult::Older, 3);
    check(&vec![b' '; (1 << 20) + 1], |v| matches!(v, OfferResult::Refused(_)), 3);
    let foreign: id::Deployment = "another".parse().expect("name");
    let other = Deployment { name: foreign, ..published(9) };
    check(&other.to_bytes(), |v| matches!(v, OfferResult::Refused(_)), 3);
    let mut broken = published(9);
    broken.services[0].groups.pop();
    check(&broken.to_bytes(), |v| matches!(v, OfferResult::Refused(_)), 3);
    check(&published(4).to_bytes(), |v| *v == OfferResult::Adopted, 4);
}

seeded! {
    /// Whatever the order, all nodes settle on the same value and none goes back.
    fn every_order_of_offers_settles_on_the_same_value(offers: Vec<(u8, bool)>) -> bool {
        let text = |(generation, twin): &(u8, bool)| {
            let mut deployment = published(u64::from(generation % 5) + 1);
            deployment.classes[0].deadline_ms += u64::from(*twin);
            deployment.to_bytes()
        };
        let texts: Vec<Vec<u8>> = offers.iter().take(12).map(text).collect();
        let settle = |order: &mut dyn Iterator<Item = &Vec<u8>>| {
            let mut holder = holder();
            let mut rising = true;
            for bytes in order {
                let before = holder.stamp();
                holder.offer(bytes);
                rising &= holder.stamp() >= before;
            }
            (holder.stamp(), rising)
        };
        let (forwards, backwards) = (settle(&mut texts.iter()), settle(&mut texts.iter().rev()));
        forwards == backwards && forwards.1
    }
}
