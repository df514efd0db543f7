"""Stand-ins for the platform, backend servers and callers, for tests."""

from jasminecrank.standins.fleet._caller import Caller as Caller
from jasminecrank.standins.fleet._deployment import Deployment as Deployment
from jasminecrank.standins.fleet._deployment import free_ports as free_ports
from jasminecrank.standins.fleet._entries import Incarnation as Incarnation
from jasminecrank.standins.fleet._entries import server_entry as server_entry
from jasminecrank.standins.fleet._entries import table_entry as table_entry
from jasminecrank.standins.fleet._entries import TeamRow as TeamRow
from jasminecrank.standins.fleet._http import parse_head as parse_head
from jasminecrank.standins.fleet._http import Response as Response
from jasminecrank.standins.fleet._load_model import LoadModel as LoadModel
from jasminecrank.standins.fleet._load_model import Outcome as Outcome
from jasminecrank.standins.fleet._load_model import (
    PlacementPolicy as PlacementPolicy,
)
from jasminecrank.standins.fleet._load_model import (
    RequestClass as RequestClass,
)
from jasminecrank.standins.fleet._load_model import Scenario as Scenario
from jasminecrank.standins.fleet._node_command import (
    node_command as node_command,
)
from jasminecrank.standins.fleet._pipelining_caller import (
    PipeliningCaller as PipeliningCaller,
)
from jasminecrank.standins.fleet._server import Behaviour as Behaviour
from jasminecrank.standins.fleet._server import Server as Server
from jasminecrank.standins.fleet._store import Outage as Outage
from jasminecrank.standins.fleet._store import Store as Store
from jasminecrank.standins.fleet._store import StoreCopy as StoreCopy
