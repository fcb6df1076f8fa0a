"""Settings of the store role."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """`may_bootstrap` means that the whole deployment starts for the first time; `losses_borne` is
    how many members may be lost at once, and `zone_losses_borne` how many availability zones.
    """

    data_folder: str
    may_bootstrap: bool = False
    losses_borne: int = 1
    zone_losses_borne: int = 0
