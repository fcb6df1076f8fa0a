"""Settings of the control role."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_decisions import OWNERSHIP_S
from tarragonhall_model import Address, Flag, Group, Integer, MapOf, Text

OWNERSHIP_MS = int(OWNERSHIP_S * 1000)


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """`members` maps each initial member's instance name to its link address.

    `members` is empty for a member that waits to be added. `member_id` is set where a member's
    name differs from its instance's. With `heal` the leader replaces and adds members by itself,
    for platforms that replace machines. `losses_borne` is how many members of control, and likewise
    of the stores, may be lost at once; `zone_losses_borne` is how many whole zones. An entry
    without a heartbeat for `ownership_ms` no longer owns rates, and the tokens it granted have
    expired. `region_by_zone` lists the deployment's availability zones; if empty, they are those of
    the processes in the view.
    """

    data_folder: str
    admin: str
    members: dict[str, str]
    server_timeout_ms: int
    entry_timeout_ms: int
    member_id: str = ""
    heal: bool = False
    losses_borne: int = 1
    zone_losses_borne: int = 0
    ownership_ms: int = OWNERSHIP_MS
    region_by_zone: dict[str, str] = field(default_factory=dict)


OPTIONS = Group(
    ControlSettings,
    {
        "data_folder": Text(),
        "admin": Address(),
        "members": MapOf(Address()),
        # A backend server that crashes must get no new work after a few seconds. Heartbeats are up
        # to a second apart: below the minimum, healthy nodes would leave and rejoin the view
        # between heartbeats, and running work would be treated as lost.
        "server_timeout_ms": Integer(3_000, minimum=1_500),
        "entry_timeout_ms": Integer(4_000, minimum=1_500),
        "member_id": Text(default=""),
        "heal": Flag(default=False),
        "losses_borne": Integer(1, minimum=0),
        "zone_losses_borne": Integer(0, minimum=0),
        # After this long without a confirmed heartbeat an entry owns no rates, and the tokens it
        # granted have expired. Must not be below the entries' own value.
        "ownership_ms": Integer(OWNERSHIP_MS, minimum=OWNERSHIP_MS),
        "region_by_zone": MapOf(Text(), default={}),
    },
)
