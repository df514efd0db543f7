"""The status command."""

import pathlib
import sys

from jasminecrank import exceptions
from jasminecrank import operators
from jasminecrank import state


def status(compiled: pathlib.Path) -> int:
    """Print the version in force on every host of a compiled host list.

    Parameters
    ----------
    compiled
        Directory with the compiled hosts.json.
    """
    by_name = operators.read_compiled(compiled)
    document = by_name.get(state.DocumentName.HOSTS)
    if document is None:
        raise exceptions.TableError(f"{compiled} has no hosts.json")
    rows = (
        state.decode_row(document.name, key, text)
        for key, text in sorted(document.by_key.items())
    )
    hosts = [row for row in rows if isinstance(row, state.HostRow)]
    views = operators.read_fleet(hosts)
    for line in operators.format_fleet(views):
        sys.stdout.write(f"{line}\n")
    return 0 if all(view.values is not None for view in views) else 1
