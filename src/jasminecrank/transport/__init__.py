"""Network I/O: calls, peer links, configuration, health and admin."""

from jasminecrank.transport._admin_server import (
    AdminApplication as AdminApplication,
)
from jasminecrank.transport._admin_server import AdminServer as AdminServer
from jasminecrank.transport._admin_server import AdminSettings as AdminSettings
from jasminecrank.transport._admin_server import NodeActors as NodeActors
from jasminecrank.transport._call_server import (
    CallApplication as CallApplication,
)
from jasminecrank.transport._call_server import CallServer as CallServer
from jasminecrank.transport._call_server import (
    CallServerSettings as CallServerSettings,
)
from jasminecrank.transport._forwarder import Target as Target
from jasminecrank.transport._health import HealthProbe as HealthProbe
from jasminecrank.transport._links import PeerLink as PeerLink
from jasminecrank.transport._links import PeerServer as PeerServer
from jasminecrank.transport._links import start_dial as start_dial
from jasminecrank.transport._logs import (
    install_json_logging as install_json_logging,
)
from jasminecrank.transport._logs import log_event as log_event
from jasminecrank.transport._logs import log_fields as log_fields
from jasminecrank.transport._sockets import DeadlineSocket as DeadlineSocket
from jasminecrank.transport._source import SourceReader as SourceReader
