"""Settings of the control role."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonhall_decisions import OWNERSHIP_S
from tarragonhall_model import Address, Flag, Group, MapOf, Text, Whole

OWNERSHIP_MS = int(OWNERSHIP_S * 1000)


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """`members` maps each founding member's instance name to its link address.

    `member_id` is set where members are known by another name than their instance's, and `members`
    is empty for one that waits to be added. `heal` has the leader replace and add members by
    itself, for platforms that replace machines; `losses_borne` is how many members, of control and
    of the stores each, may then be lost at once, and `zone_losses_borne` how many whole zones. An
    entry that was not heard for `ownership_ms` owns no rates any more, and what it granted has run
    out. `region_by_zone` names the deployment's availability zones; where it is empty, they are
    those of the processes in the view.
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
        # A backend server that leaves without a word must get no new work after a few seconds.
        # Heartbeats come up to a second apart: below the minimum, healthy nodes would leave the
        # view and come back between any two of them, and running work would be taken for lost.
        "server_timeout_ms": Whole(3_000, minimum=1_500),
        "entry_timeout_ms": Whole(4_000, minimum=1_500),
        "member_id": Text(default=""),
        "heal": Flag(default=False),
        "losses_borne": Whole(1, minimum=0),
        "zone_losses_borne": Whole(0, minimum=0),
        # After this long without a confirmed heartbeat an entry owns no rates, and what it granted
        # has run out. It must not be below that of the entries.
        "ownership_ms": Whole(OWNERSHIP_MS, minimum=OWNERSHIP_MS),
        "region_by_zone": MapOf(Text(), default={}),
    },
)
