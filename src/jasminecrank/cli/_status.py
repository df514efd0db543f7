"""The status command."""

import pathlib
import sys

from jasminecrank import operators
from jasminecrank.cli import _hosts


def status(compiled: pathlib.Path) -> int:
    """Print the version in force on each host of a compiled host list.

    Status 1 if a node does not answer.

    Example: jasminecrank status compiled/

    Parameters
    ----------
    compiled
        Directory with the compiled hosts.json.
    """
    statuses = operators.read_fleet_status(_hosts.read_hosts(compiled))
    for line in operators.format_fleet_status(statuses):
        sys.stdout.write(f"{line}\n")
    return 0 if all(node.values is not None for node in statuses) else 1
