//! Adoption of configurations: validation and ordering of published texts.

mod common;

use base::{id, unit::Generation};
use config::{deployment::Deployment, questionnaire};
use policy::adoption::{ActiveConfig, OfferResult};

const QUESTIONNAIRE: &str = include_str!("../../../examples/deployments/beltran.ini");

fn published(generation: u64) -> Deployment {
    let mut deployment = questionnaire::generate("beltran.ini", QUESTIONNAIRE)
        .expect("example questionnaire is valid");
    deployment.generation = Generation(generation);
    deployment
}

fn config() -> ActiveConfig {
    ActiveConfig::new(published(1).name)
}

#[test]
fn the_highest_valid_generation_stays_in_force() {
    let mut config = config();
    let mut check = |bytes: &[u8], expected: fn(&OfferResult) -> bool, in_force: u64| {
        let result = config.offer(bytes);
        assert!(expected(&result), "{result:?}");
        assert_eq!(config.stamp().generation, Generation(in_force));
    };
    check(b"garbage", |v| matches!(v, OfferResult::Refused(_)), 0);
    check(&published(3).to_bytes(), |v| *v == OfferResult::Adopted, 3);
    check(&published(3).to_bytes(), |v| *v == OfferResult::Same, 3);
    check(&published(2).to_bytes(), |v| *v == OfferResult::Older, 3);
    check(&vec![b' '; (1 << 20) + 1], |v| matches!(v, OfferResult::Refused(_)), 3);
    let foreign: id::Deployment = "another".parse().expect("valid deployment name");
    let other = Deployment { name: foreign, ..published(9) };
    check(&other.to_bytes(), |v| matches!(v, OfferResult::Refused(_)), 3);
    let mut broken = published(9);
    broken.services[0].groups.pop();
    check(&broken.to_bytes(), |v| matches!(v, OfferResult::Refused(_)), 3);
    check(&published(4).to_bytes(), |v| *v == OfferResult::Adopted, 4);
}

seeded! {
    /// Nodes receive published texts in different orders, and two texts may share a generation by
    /// mistake. All nodes must converge on the same one, and no stamp may decrease.
    fn every_order_of_offers_converges_on_the_same_config(offers: Vec<(u8, bool)>) -> bool {
        let text = |(generation, same_generation): &(u8, bool)| {
            let mut deployment = published(u64::from(generation % 5) + 1);
            deployment.classes[0].deadline_ms += u64::from(*same_generation);
            deployment.to_bytes()
        };
        let texts: Vec<Vec<u8>> = offers.iter().take(12).map(text).collect();
        let offer_all = |order: &mut dyn Iterator<Item = &Vec<u8>>| {
            let mut config = config();
            let mut monotonic = true;
            for bytes in order {
                let before = config.stamp();
                config.offer(bytes);
                monotonic &= config.stamp() >= before;
            }
            (config.stamp(), monotonic)
        };
        let forwards = offer_all(&mut texts.iter());
        let backwards = offer_all(&mut texts.iter().rev());
        forwards == backwards && forwards.1
    }
}
