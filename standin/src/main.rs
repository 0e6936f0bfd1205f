//! The stand-ins for the platform and the endpoints.

fn main() {}
