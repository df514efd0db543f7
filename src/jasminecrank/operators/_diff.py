"""Differences between two compiled tables."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import json

from jasminecrank import state


@dataclass(slots=True, frozen=True)
class RowAdded:
    """A row that is only in the later table."""

    name: state.DocumentName
    key: str
    text: str

    def __str__(self) -> str:
        return f"+ {self.name.value} {self.key} {self.text}"


@dataclass(slots=True, frozen=True)
class RowRemoved:
    """A row that is only in the earlier table."""

    name: state.DocumentName
    key: str
    text: str

    def __str__(self) -> str:
        return f"- {self.name.value} {self.key} {self.text}"


@dataclass(slots=True, frozen=True)
class FieldChanged:
    """A field whose value differs between the tables."""

    name: state.DocumentName
    key: str
    field: str
    before: object
    after: object

    def __str__(self) -> str:
        return (
            f"~ {self.name.value} {self.key} {self.field}: "
            f"{self.before} -> {self.after}"
        )


Difference = RowAdded | RowRemoved | FieldChanged


def diff_documents(
    before: Mapping[state.DocumentName, state.Document],
    after: Mapping[state.DocumentName, state.Document],
) -> Iterator[Difference]:
    """Yield each added or removed row and each changed field."""
    for name in state.DocumentName:
        old = before[name].by_key if name in before else {}
        new = after[name].by_key if name in after else {}
        for key in sorted(old.keys() | new.keys()):
            if key not in old:
                yield RowAdded(name, key, new[key])
            elif key not in new:
                yield RowRemoved(name, key, old[key])
            elif old[key] != new[key]:
                yield from _changed_fields(name, key, old[key], new[key])


def _changed_fields(
    name: state.DocumentName, key: str, old: str, new: str
) -> Iterator[Difference]:
    old_values, new_values = json.loads(old), json.loads(new)
    for field in sorted(old_values.keys() | new_values.keys()):
        before, after = old_values.get(field), new_values.get(field)
        if before != after:
            yield FieldChanged(name, key, field, before, after)
