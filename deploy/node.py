"""Start a node: python3 -S deploy/node.py.

A signal that comes before it is handled ends the process, so that handlers
are set first. `-S` omits the site module, which takes most of the time until
the first line runs and which a node does not need.
"""

# The module `signal` imports others first, which takes several times as long.
import _signal

_early_signals: list[int] = []


def _note(number: int, frame: object) -> None:
    _early_signals.append(number)


for _number in (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM):
    _signal.signal(_number, _note)


def main() -> None:
    """Run the node until the process ends."""
    import gc

    # Modules live as long as the process, so that a collection finds nothing.
    gc.disable()
    from jasminecrank.mesh.daemon import __main__

    __main__.main(_early_signals)


if __name__ == "__main__":
    main()
