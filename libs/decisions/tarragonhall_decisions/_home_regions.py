"""The availability zones for calls whose route or organisation is bound to home regions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping


def home_zones(
    route_regions: Iterable[str],
    organisation_regions: Iterable[str],
    region_by_zone: Mapping[str, str],
) -> frozenset[str] | None:
    """Return the zones where a call may run; None where neither names regions.

    If both name regions, both must allow the zone. A zone of unknown region is never allowed.
    """
    allowed = [frozenset(names) for names in (route_regions, organisation_regions) if names]
    if not allowed:
        return None
    regions = frozenset.intersection(*allowed)
    return frozenset(zone for zone, region in region_by_zone.items() if region in regions)


def stays_in_regions(
    store_zones: Iterable[str],
    homes: frozenset[str],
    own_zone: str,
    region_by_zone: Mapping[str, str],
) -> bool:
    """Return whether data stored in these zones stays in the home regions or the caller's region.

    Callers connect to entries of their own region.
    """
    regions = {region_by_zone[zone] for zone in homes}
    regions.add(region_by_zone.get(own_zone, ""))
    return all(region_by_zone.get(zone) in regions for zone in store_zones)
