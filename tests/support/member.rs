//! Members for tests.

use auburnspoke::member::{Member, State};

/// Returns a live member of the zone `z0` with ample capacity. Tests override the
/// relevant fields: `Member { state: State::Dead, ..member("a") }`.
pub fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        link: "127.0.0.1:2".into(),
        control: "127.0.0.1:3".into(),
        zone: "z0".into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 1,
        power: 500,
    }
}
