"""Run a node on the platform: python3 -m jasminecrank.mesh.daemon.

The platform starts deploy/node.py, which handles signals even earlier.
"""

import os

from jasminecrank.mesh.daemon import _signals

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    import typing


def main(early_signals: "Sequence[int]" = ()) -> "typing.NoReturn":
    """Run the node and end the process with its exit status.

    `early_signals` are those received so far, and until handlers are set.
    """
    signals = _signals.Signals.install(early_signals)
    _open_standard_streams()
    try:
        # Takes most of the start, in which signals must be handled.
        from jasminecrank.mesh.daemon import _process

        status = _process.run(signals)
    finally:
        signals.ignore()
    # Freeing all objects would take processor time after the stop is over.
    os._exit(status)


def _open_standard_streams() -> None:
    """Open closed ones, so that no socket gets the number of the log's."""
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


if __name__ == "__main__":
    main()
