"""Commands for tenant keys."""

import secrets
import sys

import cyclopts

from jasminecrank import exceptions
from jasminecrank import protocol

_KEY_BYTES = 32

app = cyclopts.App(name="key", help="Generate tenant keys and their digests.")


@app.command
def new() -> int:
    """Print a new random key and its digest for keys.csv.

    Example: jasminecrank key new
    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    sys.stdout.write(f"key    {key}\ndigest {protocol.digest_key(key)}\n")
    return 0


@app.command
def digest() -> int:
    """Print the digest of a key read from standard input.

    The key is not an argument because arguments are visible in process lists.

    Example: jasminecrank key digest < key.txt
    """
    key = sys.stdin.readline().strip()
    if not key:
        raise exceptions.SettingError("no key on standard input")
    sys.stdout.write(f"{protocol.digest_key(key)}\n")
    return 0
