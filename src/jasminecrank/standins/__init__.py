"""Stand-ins for the platform and backend servers, for use in tests."""

from jasminecrank.standins._backend_server import (
    BackendServerSettings as BackendServerSettings,
)
from jasminecrank.standins._backend_server import (
    BackendServerStandIn as BackendServerStandIn,
)
from jasminecrank.standins._deployment import Deployment as Deployment
from jasminecrank.standins._platform import PlatformStandIn as PlatformStandIn
from jasminecrank.standins._quota_fleet import FleetNode as FleetNode
from jasminecrank.standins._quota_fleet import Network as Network
from jasminecrank.standins._quota_fleet import QuotaFleet as QuotaFleet
from jasminecrank.standins._quota_fleet import WindowAudit as WindowAudit
