"""The status command."""

import pathlib
import sys

from jasminecrank import operators
from jasminecrank.cli import _hosts


def status(compiled: pathlib.Path) -> int:
    """Print the version in force on every host of a compiled host list.

    Status 1 if a node does not answer.

    Example: jasminecrank status compiled/

    Parameters
    ----------
    compiled
        Directory with the compiled hosts.json.
    """
    views = operators.read_fleet(_hosts.read_hosts(compiled))
    for line in operators.format_fleet(views):
        sys.stdout.write(f"{line}\n")
    return 0 if all(view.values is not None for view in views) else 1
