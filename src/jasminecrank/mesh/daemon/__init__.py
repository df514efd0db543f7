"""Process that runs a node."""

from jasminecrank.mesh.daemon._node import Node as Node
