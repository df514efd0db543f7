"""Access to the compiled host list."""

import pathlib

from jasminecrank import exceptions
from jasminecrank import operators
from jasminecrank import state


def read_hosts(compiled: pathlib.Path) -> tuple[state.HostRow, ...]:
    """Return the hosts of a compiled directory, sorted by ID."""
    document = operators.read_compiled(compiled).get(state.DocumentName.HOSTS)
    if document is None:
        raise exceptions.TableError(f"{compiled} has no hosts.json")
    rows = (
        state.decode_row(document.name, key, text)
        for key, text in sorted(document.by_key.items())
    )
    return tuple(row for row in rows if isinstance(row, state.HostRow))
