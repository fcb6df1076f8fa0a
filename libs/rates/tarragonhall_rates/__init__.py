"""Rate and burst of organisations over all entries together: the part of one entry."""

from __future__ import annotations

from tarragonhall_rates._rates import Rates

__all__ = ["Rates"]
