//! Spreads servers over failure domains.

/// A failure domain to which servers are added or from which they are removed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    /// The servers that it has.
    pub(crate) count: u32,
    /// The servers that it must keep.
    pub(crate) min: u32,
    /// The servers that it has room for.
    pub(crate) max: u32,
    /// The price of a server.
    pub(crate) price_permille: u32,
}

/// Adds servers one by one where there are fewest, the cheapest place first among equal ones.
pub(crate) fn add(places: &mut [Place], count: u32) {
    for _ in 0..count {
        let free = places.iter_mut().filter(|it| it.count < it.max);
        let Some(place) = free.min_by_key(|it| (it.count, it.price_permille)) else { return };
        place.count += 1;
    }
}

/// Removes servers one by one where there are most, the most expensive place first among equal ones.
pub(crate) fn remove(places: &mut [Place], count: u32) {
    for _ in 0..count {
        let free = places.iter_mut().filter(|it| it.count > it.min);
        let Some(place) = free.max_by_key(|it| (it.count, it.price_permille)) else { return };
        place.count -= 1;
    }
}
