"""Network connections, clock and log of a node."""

from jasminecrank.mesh.transport._caller_server import (
    CallerServer as CallerServer,
)
from jasminecrank.mesh.transport._clock import BootClock as BootClock
from jasminecrank.mesh.transport._dialler import Dialler as Dialler
from jasminecrank.mesh.transport._http_client import Broken as Broken
from jasminecrank.mesh.transport._http_client import (
    ClientConnection as ClientConnection,
)
from jasminecrank.mesh.transport._http_client import connect as connect
from jasminecrank.mesh.transport._http_client import (
    MAX_BODY_BYTES as MAX_BODY_BYTES,
)
from jasminecrank.mesh.transport._http_client import (
    REASON_TOO_LARGE as REASON_TOO_LARGE,
)
from jasminecrank.mesh.transport._idle_connections import (
    IdleConnections as IdleConnections,
)
from jasminecrank.mesh.transport._links import Link as Link
from jasminecrank.mesh.transport._links import (
    listen_for_links as listen_for_links,
)
from jasminecrank.mesh.transport._log import (
    HISTOGRAM_BOUNDS_S as HISTOGRAM_BOUNDS_S,
)
from jasminecrank.mesh.transport._log import JsonLog as JsonLog
from jasminecrank.mesh.transport._log import (
    REQUEST_LINES_PER_S as REQUEST_LINES_PER_S,
)
from jasminecrank.mesh.transport._paced_reading import ReadTurns as ReadTurns
from jasminecrank.mesh.transport._server_connections import (
    ServerConnectionPool as ServerConnectionPool,
)
from jasminecrank.mesh.transport._status_server import (
    listen_for_status as listen_for_status,
)
