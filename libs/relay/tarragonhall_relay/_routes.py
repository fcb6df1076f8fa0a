"""The routes and caller keys of the relay document in force."""

from __future__ import annotations

import random

from tarragonhall_model import RelayConfig, RelayOrganisation, Route, Service


class RouteTable:
    """One version of the relay document, indexed for look-ups."""

    __slots__ = ("_routes_by_host", "config", "organisation_by_key", "service_by_name")

    def __init__(self, config: RelayConfig) -> None:
        self.config = config
        self.service_by_name: dict[str, Service] = {one.name: one for one in config.services}
        self.organisation_by_key: dict[str, RelayOrganisation] = {}
        for organisation in config.organisations or ():
            for key in organisation.keys:
                self.organisation_by_key[key] = organisation
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def needs_key(self, route: Route) -> bool:
        """Return whether calls on the route must present a caller key."""
        return self.config.organisations is not None and not route.anonymous

    def service_of(self, route: Route, rng: random.Random) -> str:
        """Return the service for one call, chosen at random by the route's weights."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [one.weight for one in route.services]
        return rng.choices(route.services, weights)[0].service


def host_of(value: bytes) -> str:
    """Return the host of a `host` header, without its port, as routes name it."""
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.strip().isdigit() else host
