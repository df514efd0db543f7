"""Records which processes may have accepted a connection."""

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import observed


class Opening:
    """The opening of a connection to the node of a host."""

    def __init__(
        self, deployment: _deployment.SoakDeployment, host: int
    ) -> None:
        self._deployment = deployment
        self._host = host
        self._begin_s = deployment.now_s()
        self._incarnations = self._running()

    def complete(self) -> observed.Connection:
        """Return the connection that was opened.

        A process that ended or started meanwhile may have accepted it.
        """
        return observed.Connection(
            self._begin_s, self._incarnations | self._running()
        )

    def _running(self) -> frozenset[int]:
        node = self._deployment.nodes[self._host]
        return frozenset(run.incarnation for run in node.runs)


class RecordedCaller(fleet.Caller):
    """Client of a node of the deployment whose connection is recorded."""

    def __init__(
        self, deployment: _deployment.SoakDeployment, host: int
    ) -> None:
        super().__init__(deployment.host(host), deployment.ports["callers"])
        self.connection = observed.Connection(0.0, frozenset())
        self._deployment = deployment
        self._host = host

    async def connect(self) -> None:
        """Open a connection unless there is one, and record it."""
        if not self.is_connected:
            opening = Opening(self._deployment, self._host)
            await super().connect()
            self.connection = opening.complete()
