"""Command that starts a node as the platform does."""

import pathlib
import sys

START_FILE = "deploy/node.py"


def node_command(source: pathlib.Path | None = None) -> list[str]:
    """Return the command of a node, from another source folder if given.

    Revisions without a start file are run as a module.
    """
    folder = source or pathlib.Path(__file__).resolve().parents[3]
    path = folder.parent / START_FILE
    if not path.exists():
        return [sys.executable, "-m", "jasminecrank.mesh.daemon"]
    return [sys.executable, "-S", str(path)]
