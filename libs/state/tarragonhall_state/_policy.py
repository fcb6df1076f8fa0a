"""The resolved policy that entries apply, and the deltas that keep them up to date."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import (
    Budget,
    ModelPolicy,
    OrganisationPolicy,
    PolicyDelta,
    Rate,
    mutable_record,
    record,
)

from tarragonhall_state._names import (
    MODEL_NAME_PATTERN,
    OPTION_BY_MODEL_FIELD,
    ROOT_PATH,
    is_within,
)
from tarragonhall_state._tree import SettingsTree

# A follower that missed more revisions or ids than this gets the full set: a delta of 50,000 ids is
# larger than the full set of 15,000 organisations.
MAX_DELTA_REVISIONS = 2_000
MAX_DELTA_IDS = 50_000


@record
class Touched:
    """Ids that one revision may have changed; values are looked up when a delta is built."""

    revision: int
    organisations: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    models: tuple[str, ...] = ()

    def size(self) -> int:
        """Return the number of ids."""
        return len(self.organisations) + len(self.keys) + len(self.models)


@mutable_record
class TouchLog:
    """The ids that recent revisions touched. Covers every revision after `base`."""

    base: int = 0
    ids: int = 0
    entries: list[Touched] = field(default_factory=list)

    def add(self, touched: Touched) -> None:
        """Append the next revision and drop the oldest ones beyond the limits."""
        self.entries.append(touched)
        self.ids += touched.size()
        while len(self.entries) > MAX_DELTA_REVISIONS or self.ids > MAX_DELTA_IDS:
            oldest = self.entries.pop(0)
            self.base = oldest.revision
            self.ids -= oldest.size()

    def since(self, revision: int) -> Touched | None:
        """Return all ids touched after a revision, or None if the log no longer covers it."""
        if revision < self.base:
            return None
        # Dicts as ordered sets: every member must list the ids in the same order.
        organisations: dict[str, None] = {}
        keys: dict[str, None] = {}
        models: dict[str, None] = {}
        latest = revision
        for touched in reversed(self.entries):
            if touched.revision <= revision:
                break
            latest = max(latest, touched.revision)
            organisations.update(dict.fromkeys(touched.organisations))
            keys.update(dict.fromkeys(touched.keys))
            models.update(dict.fromkeys(touched.models))
        return Touched(latest, tuple(organisations), tuple(keys), tuple(models))


def resolve_organisation(tree: SettingsTree, org_id: str, path: str) -> OrganisationPolicy:
    """Return the policy in force for an organisation."""
    value_by_name = {origin.name: origin.value for origin in tree.explain(path)}
    return OrganisationPolicy(
        org_id=org_id,
        path=path,
        rate=Rate(value_by_name["rate.per_second"], value_by_name["rate.burst"]),
        weight=value_by_name["weight"],
        budget=Budget(
            value_by_name["budget.tokens"],
            value_by_name["budget.calls"],
            value_by_name["budget.seconds"],
        ),
        idle_seconds=value_by_name["idle_seconds"],
        enabled=value_by_name["enabled"],
    )


def resolve_model(tree: SettingsTree, name: str) -> ModelPolicy | None:
    """Return the policy of a model, or None if no version of it is set."""
    values = tree.values_at(ROOT_PATH)
    field_values = {
        field: values.get(f"model.{name}.{field}", option.default)
        for field, option in OPTION_BY_MODEL_FIELD.items()
    }
    if f"model.{name}.version" not in values:
        return None
    return ModelPolicy(name, **field_values)


def model_names(names: list[str]) -> list[str]:
    """Return the distinct models that appear in the given setting names."""
    found: dict[str, None] = {}
    for name in names:
        match = MODEL_NAME_PATTERN.fullmatch(name)
        if match is not None:
            found[match["model"]] = None
    return list(found)


def organisations_under(path_by_org_id: dict[str, str], paths: set[str]) -> list[str]:
    """Return the organisations whose policy changes at the given paths may affect."""
    return [
        org_id
        for org_id, path in path_by_org_id.items()
        if any(is_within(path, changed) for changed in paths)
    ]


def empty_delta(revision: int) -> PolicyDelta:
    """Return the delta for a follower that is up to date."""
    return PolicyDelta(revision, revision)
