"""Differences between two compiled tables."""

from collections.abc import Iterator
from collections.abc import Mapping
import json

from jasminecrank import state


def diff_documents(
    before: Mapping[state.DocumentName, state.Document],
    after: Mapping[state.DocumentName, state.Document],
) -> Iterator[str]:
    """Yield a line for each added or removed row and each changed field."""
    for name in state.DocumentName:
        old = before[name].by_key if name in before else {}
        new = after[name].by_key if name in after else {}
        for key in sorted(old.keys() | new.keys()):
            if key not in old:
                yield f"+ {name.value} {key} {new[key]}"
            elif key not in new:
                yield f"- {name.value} {key} {old[key]}"
            elif old[key] != new[key]:
                yield from _changed_fields(name, key, old[key], new[key])


def _changed_fields(
    name: state.DocumentName, key: str, old: str, new: str
) -> Iterator[str]:
    old_values, new_values = json.loads(old), json.loads(new)
    for field in sorted(old_values.keys() | new_values.keys()):
        before, after = old_values.get(field), new_values.get(field)
        if before != after:
            yield f"~ {name.value} {key} {field}: {before} -> {after}"
