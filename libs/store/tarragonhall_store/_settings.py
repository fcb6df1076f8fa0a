"""Settings of the store role."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonhall_state import TurnRoom


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """`may_bootstrap` means that the whole deployment starts for the first time; `tolerated_losses`
    is how many members may be lost at once, and `tolerated_zone_losses` how many availability
    zones. `turn_room` bounds the memory of retained turns.
    """

    data_folder: str
    may_bootstrap: bool = False
    tolerated_losses: int = 1
    tolerated_zone_losses: int = 0
    turn_room: TurnRoom = TurnRoom()
