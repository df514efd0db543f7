"""Message encodings, independent of sockets."""

from jasminecrank.mesh.protocol._codecs import CallerCodec as CallerCodec
from jasminecrank.mesh.protocol._codecs import RawRequest as RawRequest
from jasminecrank.mesh.protocol._codecs import RawResponse as RawResponse
from jasminecrank.mesh.protocol._codecs import ResponseOwner as ResponseOwner
from jasminecrank.mesh.protocol._codecs import ServerCodec as ServerCodec
from jasminecrank.mesh.protocol._http1 import encode_request as encode_request
from jasminecrank.mesh.protocol._http1 import (
    encode_response as encode_response,
)
from jasminecrank.mesh.protocol._http1 import (
    end_to_end_headers as end_to_end_headers,
)
from jasminecrank.mesh.protocol._http1 import find_header as find_header
from jasminecrank.mesh.protocol._http1 import (
    has_connection_close as has_connection_close,
)
from jasminecrank.mesh.protocol._http1 import (
    keep_alive_timeout_s as keep_alive_timeout_s,
)
from jasminecrank.mesh.protocol._link_codec import decode as decode
from jasminecrank.mesh.protocol._link_codec import encode as encode
from jasminecrank.mesh.protocol._link_codec import (
    encode_unframed as encode_unframed,
)
from jasminecrank.mesh.protocol._link_codec import FRAME_LENGTH as FRAME_LENGTH
from jasminecrank.mesh.protocol._link_codec import LinkError as LinkError
from jasminecrank.mesh.protocol._link_codec import (
    MAX_BODY_BYTES as MAX_BODY_BYTES,
)
from jasminecrank.mesh.protocol._link_codec import (
    MAX_FRAME_BYTES as MAX_FRAME_BYTES,
)
