"""Reader of the platform's configuration service."""

import json

import pykka
import urllib3

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _metrics

_READ_TIMEOUT_S = 2.0
_WATCH_S = 25
_HTTP_OK = 200


class SourceReader(coordination.NodeActor):
    """Owns the connection to the configuration service."""

    def __init__(
        self,
        source_url: str,
        config: pykka.ActorRef[coordination.ConfigActor],
    ) -> None:
        super().__init__()
        self._url = source_url.rstrip("/")
        self._config = config
        self._pool = _metrics.source_pool()

    def on_receive(self, message: object) -> object:
        """Read or watch and send on what the source answered."""
        try:
            match message:
                case coordination.ReadSource():
                    self._read(self._ask_changed(message.have, 0))
                case coordination.WatchSource():
                    self._read(self._ask_changed(message.have, _WATCH_S))
                case _:
                    raise exceptions.JasminecrankError(
                        f"unexpected message {message!r}"
                    )
        except exceptions.SourceError as error:
            self._config.tell(coordination.SourceFailed(str(error)))
            return None
        self._config.tell(coordination.SourceAnswered())
        return None

    def _ask_changed(
        self, have: state.VersionVector, wait_s: int
    ) -> tuple[state.DocumentName, ...]:
        query = "&".join(
            f"{name.value}={have.get(name).number}"
            for name in state.DocumentName
        )
        payload = self._get(
            f"/v1/watch?{query}&wait_s={wait_s}", _READ_TIMEOUT_S + wait_s
        )
        try:
            names = json.loads(payload)["changed"]
            return tuple(state.DocumentName(name) for name in names)
        except (ValueError, KeyError, TypeError) as error:
            raise exceptions.SourceError(
                f"watch answer is not as documented: {error!r}"
            ) from None

    def _read(self, names: tuple[state.DocumentName, ...]) -> None:
        for name in sorted(names, key=_read_order):
            payload = self._get(f"/v1/documents/{name.value}", _READ_TIMEOUT_S)
            try:
                document = protocol.decode_published(name, payload)
            except exceptions.DocumentError as error:
                raise exceptions.SourceError(str(error)) from None
            self._config.tell(coordination.DocumentRead(document))

    def _get(self, path: str, timeout_s: float) -> bytes:
        _metrics.count_source_call()
        try:
            response = self._pool.request(
                "GET", self._url + path, timeout=timeout_s, retries=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.SourceError(
                f"{type(error).__name__} on {path}"
            ) from None
        _metrics.count_source_answer(response)
        if response.status != _HTTP_OK:
            raise exceptions.SourceError(f"status {response.status} on {path}")
        return response.data


def _read_order(name: state.DocumentName) -> int:
    """Read keys first, because a withdrawal is the most urgent change."""
    return 0 if name is state.DocumentName.KEYS else 1
