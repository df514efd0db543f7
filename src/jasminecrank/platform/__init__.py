"""Adapter for the platform's names, formats and calls.

It converts them to the types of the node and makes no decisions.
"""

from jasminecrank.platform._entries import EntryDecoder as EntryDecoder
from jasminecrank.platform._headers import PlatformCodec as PlatformCodec
from jasminecrank.platform._settings import (
    CONFIG_PATH_VARIABLE as CONFIG_PATH_VARIABLE,
)
from jasminecrank.platform._settings import read_settings as read_settings
from jasminecrank.platform._store import decode_page as decode_page
from jasminecrank.platform._store import PlatformStore as PlatformStore
from jasminecrank.platform._store import read_era as read_era
