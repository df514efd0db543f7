"""Wire formats of peer messages, documents and calls."""

from jasminecrank.protocol._cbor import decode_envelope as decode_envelope
from jasminecrank.protocol._cbor import encode_envelope as encode_envelope
from jasminecrank.protocol._cbor import MAX_FRAME_BYTES as MAX_FRAME_BYTES
from jasminecrank.protocol._http import (
    backend_server_headers as backend_server_headers,
)
from jasminecrank.protocol._http import decode_call as decode_call
from jasminecrank.protocol._http import digest_key as digest_key
from jasminecrank.protocol._http import Headers as Headers
from jasminecrank.protocol._http import HttpCall as HttpCall
from jasminecrank.protocol._http import HttpRequest as HttpRequest
from jasminecrank.protocol._http import node_headers as node_headers
from jasminecrank.protocol._http_answers import (
    decode_node_response as decode_node_response,
)
from jasminecrank.protocol._http_answers import (
    decode_server_response as decode_server_response,
)
from jasminecrank.protocol._http_answers import (
    encode_refusal as encode_refusal,
)
from jasminecrank.protocol._http_answers import (
    end_to_end_headers as end_to_end_headers,
)
from jasminecrank.protocol._published import (
    decode_changed_names as decode_changed_names,
)
from jasminecrank.protocol._published import decode_health as decode_health
from jasminecrank.protocol._published import (
    decode_published as decode_published,
)
from jasminecrank.protocol._published import (
    encode_published as encode_published,
)
from jasminecrank.protocol._published import (
    UNREACHABLE_REPORT as UNREACHABLE_REPORT,
)
