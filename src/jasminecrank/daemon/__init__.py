"""The node process."""

from jasminecrank.daemon._node import Node as Node
from jasminecrank.daemon._node import run_node as run_node
from jasminecrank.daemon._settings import NodeSettings as NodeSettings
