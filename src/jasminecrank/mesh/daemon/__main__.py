"""Run a node on the platform: python3 -m jasminecrank.mesh.daemon."""

import sys

from jasminecrank.mesh.daemon import _signals


def main() -> int:
    """Run the node and return its exit status."""
    signals = _signals.Signals.install()
    try:
        # Takes most of the start, in which signals must be handled.
        from jasminecrank.mesh.daemon import _process

        return _process.run(signals)
    finally:
        signals.ignore()


if __name__ == "__main__":
    sys.exit(main())
