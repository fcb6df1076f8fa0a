"""Operators: which token grants which role on which subtree."""

from __future__ import annotations

import enum
from dataclasses import field

from tarragonhall_model import mutable_record, record

from tarragonhall_state._names import is_within


class OperatorRole(enum.Enum):
    """What an operator may do; each role includes the ones before it."""

    READER = "reader"
    EDITOR = "editor"
    ADMIN = "admin"


RANK_BY_ROLE = {OperatorRole.READER: 0, OperatorRole.EDITOR: 1, OperatorRole.ADMIN: 2}
MAX_OPERATORS = 10_000


@record
class Operator:
    """One operator. Only the hash of the token is stored."""

    name: str
    token_hash: str
    path: str
    role: OperatorRole
    created_at_ms: int
    author: str

    def may(self, role: OperatorRole, path: str) -> bool:
        """Return whether the operator may act in a role at a path."""
        return RANK_BY_ROLE[self.role] >= RANK_BY_ROLE[role] and is_within(path, self.path)


@mutable_record
class Operators:
    """Operators by name."""

    by_name: dict[str, Operator] = field(default_factory=dict)

    def add(self, operator: Operator) -> None:
        """Add an operator."""
        self.by_name[operator.name] = operator

    def with_token(self, token_hash: str) -> Operator | None:
        """Return the operator with this token hash, or None.

        Tokens are 256 random bits and their hashes are compared, so the timing of the comparison
        does not help to guess a token.
        """
        for operator in self.by_name.values():
            if operator.token_hash == token_hash:
                return operator
        return None
