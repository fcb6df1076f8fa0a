"""State machines over the log: settings tree, keys, operators, views and the program journal.

`ControlState` is the `Machine` that the consensus library drives: `apply(index, data)` decodes a
`model.Command`, sends it to the part that owns it, and returns that command's result record.
Queries are plain methods without side effects, used by the control role on its own copy:

- `call(program_id, seq, org_id)`, `program(program_id, org_id)`, `living(ids)`, `quarantine(fp)`
- `policy_since(revision) -> PolicyDelta`, `view() -> View`, `revision`, `epoch`
- the settings tree: `get`, `explain`, `history`, `diff`, `export`, `preview` (dry run)

Commands of operators (`CreateOrganisation`, `ChangeSettings`, `GrantKey`, `WithdrawKey`,
`CreateOperator`, `Rollback`, …) are records of this library.
"""

from __future__ import annotations

from tarragonhall_state._follower import FRESHNESS_LEASE_SECONDS, Follower

__all__ = ["FRESHNESS_LEASE_SECONDS", "Follower"]
