"""HTTP client of the platform's configuration service."""

import pykka
import urllib3

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _metrics

_READ_TIMEOUT_S = 2.0
_HTTP_OK = 200


class SourceReader(coordination.NodeActor):
    """Actor that owns the connection to the configuration service."""

    def __init__(
        self,
        source_url: str,
        config: pykka.ActorRef[coordination.ConfigActor],
    ) -> None:
        super().__init__()
        self._url = source_url.rstrip("/")
        self._config = config
        self._pool = _metrics.create_source_pool()

    def on_receive(self, message: object) -> object:
        """Send one request and report its result to the config actor."""
        try:
            match message:
                case coordination.ReadSource():
                    reply: object = self._read_document(message.name)
                case coordination.WatchSource():
                    reply = self._watch_documents(message)
                case _:
                    raise exceptions.JasminecrankError(
                        f"unexpected message {message!r}"
                    )
        except exceptions.SourceError as error:
            reply = coordination.SourceFailed(str(error))
        coordination.tell_if_alive(self._config, reply)
        return None

    def _watch_documents(
        self, message: coordination.WatchSource
    ) -> coordination.WatchCompleted:
        query = "&".join(
            f"{name.value}={message.have.get(name).number}"
            for name in state.DocumentName
        )
        wait_s = message.wait_s
        payload = self._get(
            f"/v1/watch?{query}&wait_s={wait_s}", _READ_TIMEOUT_S + wait_s
        )
        return coordination.WatchCompleted(
            protocol.decode_changed_names(payload)
        )

    def _read_document(
        self, name: state.DocumentName
    ) -> coordination.DocumentRead | coordination.DocumentUnreadable:
        payload = self._get(f"/v1/documents/{name.value}", _READ_TIMEOUT_S)
        try:
            document = protocol.decode_published(name, payload)
        except exceptions.DocumentError as error:
            return coordination.DocumentUnreadable(name, str(error))
        return coordination.DocumentRead(document)

    def _get(self, path: str, timeout_s: float) -> bytes:
        _metrics.count_source_call()
        try:
            response = self._pool.request(
                "GET", self._url + path, timeout=timeout_s, retries=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.SourceError(
                f"{type(error).__name__} on GET {path}"
            ) from None
        _metrics.count_source_response(response)
        if response.status != _HTTP_OK:
            raise exceptions.SourceError(
                f"HTTP status {response.status} on GET {path}"
            )
        return response.data
