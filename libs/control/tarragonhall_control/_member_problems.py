"""Collects the problems that linked processes tell of themselves."""

from __future__ import annotations

from collections.abc import Iterable

import eventlet
from tarragonhall_model import LinkError, QueryTimeline, TimelineEvents
from tarragonhall_wire import Link

from tarragonhall_control._member import ControlMember

PROBLEMS_TIMEOUT_SECONDS = 0.5


def problems_by_process(member: ControlMember) -> dict[str, list[str]]:
    """Return the problems of this and all linked processes that have any, by name and address."""
    context = member.context
    found_by_process = {f"{context.instance} {context.link_address}": context.hub.problems.texts()}
    query = QueryTimeline(limit=0)
    for link, found in query_timelines(context.hub.links(), query, PROBLEMS_TIMEOUT_SECONDS):
        if found is not None and found.problems:
            found_by_process[f"{link.peer.instance} {link.peer.address}"] = found.problems
    return {name: problems for name, problems in sorted(found_by_process.items()) if problems}


def problems_by_member(member: ControlMember) -> dict[str, list[str] | None]:
    """Return the problems of all members by their ids, None for one that does not answer.

    It needs neither a leader nor a data folder.
    """
    hub = member.context.hub
    members = member.loop.replica.members()
    addresses = {one.address for one in members} - {member.context.link_address}
    links = [link for link in hub.links() if link.peer.address in addresses]
    found_by_address = {member.context.link_address: hub.problems.texts()}
    query = QueryTimeline(limit=0)
    for link, found in query_timelines(links, query, PROBLEMS_TIMEOUT_SECONDS):
        if found is not None and found.problems is not None:
            found_by_address[link.peer.address] = found.problems
    return {one.member_id: found_by_address.get(one.address) for one in members}


def query_timelines(
    links: list[Link], query: QueryTimeline, timeout_s: float
) -> Iterable[tuple[Link, TimelineEvents | None]]:
    """Query processes in parallel; yield None for one that does not answer in time."""
    pool = eventlet.GreenPool(max(1, len(links)))
    return pool.starmap(_query_timeline, [(link, query, timeout_s) for link in links])


def _query_timeline(
    link: Link, query: QueryTimeline, timeout_s: float
) -> tuple[Link, TimelineEvents | None]:
    try:
        return link, link.request(query, timeout_s)
    except LinkError:
        return link, None
