"""Process that runs a node.

The node is imported on first use: `python3 -m` imports this package before
it runs `__main__`, which has to handle signals before the slow imports.
"""

TYPE_CHECKING = False
if TYPE_CHECKING:
    from jasminecrank.mesh.daemon._node import Node as Node


def __getattr__(name: str) -> object:
    """Import the node on first use."""
    if name != "Node":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from jasminecrank.mesh.daemon import _node

    return _node.Node
