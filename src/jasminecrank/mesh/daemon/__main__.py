"""Run a node on the platform: python3 -m jasminecrank.mesh.daemon."""

import os
import sys

from jasminecrank.mesh.daemon import _signals


def main() -> int:
    """Run the node and return its exit status."""
    signals = _signals.Signals.install()
    _open_standard_streams()
    try:
        # Takes most of the start, in which signals must be handled.
        from jasminecrank.mesh.daemon import _process

        return _process.run(signals)
    finally:
        signals.ignore()


def _open_standard_streams() -> None:
    """Open closed ones, so that no socket gets the number of the log's."""
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


if __name__ == "__main__":
    sys.exit(main())
